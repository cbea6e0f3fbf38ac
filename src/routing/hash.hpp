// Hash functions whose values are the same on all machines and at all instances.
#pragma once

#include <cstdint>

namespace tinspan {

// The numeric value of a strongly typed id.
template <class Identifier>
constexpr std::uint64_t ToNumber(Identifier identifier) {
  return static_cast<std::uint64_t>(identifier);
}

// Hashes a value with a salt to 64 bits. Ends with the finalizer of splitmix64 (Steele, Lea and Flood,
// "Fast splittable pseudorandom number generators", OOPSLA 2014).
constexpr std::uint64_t MixHash(std::uint64_t value, std::uint64_t salt) {
  std::uint64_t bits = value * 0x9e3779b97f4a7c15ULL + salt + 0x632be59bd9b4e019ULL;
  bits = (bits ^ (bits >> 30)) * 0xbf58476d1ce4e5b9ULL;
  bits = (bits ^ (bits >> 27)) * 0x94d049bb133111ebULL;
  return bits ^ (bits >> 31);
}

// Maps a hash to [0, 1). Uses its upper 53 bits, the precision of a double.
constexpr double ToUnitInterval(std::uint64_t hash) { return static_cast<double>(hash >> 11) * 0x1p-53; }

}  // namespace tinspan
