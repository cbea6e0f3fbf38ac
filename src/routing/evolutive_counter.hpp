// The evolutive summary counter of the design: how often an object was sent to one cache lately.
#pragma once

#include <cstdint>
#include <vector>

#include "tinspan/router.hpp"

namespace tinspan {

// A ring of k count filters (Bloom filters whose places count). The head counts what is sent now; every tau
// the oldest filter is cleared and becomes the head, so that counts look back k * tau. Counts may be too
// high, by objects that share places, and are never too low, but for saturation.
class EvolutiveCounter {
 public:
  EvolutiveCounter();

  // Clears the filters whose time has passed. To be called before Count or Summary.
  void Slide(Micros now);

  // Counts one request for the copy with this key. A full place stays full.
  void Count(std::uint64_t key);

  // The linear summary of a copy's counts: the newest filter weighs k, the oldest 1.
  int Summary(std::uint64_t key) const;

 private:
  // A key's place in a filter, by the number of the hash function.
  static std::size_t Place(std::uint64_t key, int hash_number);

  std::vector<std::vector<std::uint8_t>> filters_;
  int head_ = 0;
  std::int64_t epoch_ = 0;  // number of the head's tau since the clock's origin
};

}  // namespace tinspan
