// A map whose values keep their place in a vector while they are in it.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace tinspan {

// Values by key, each in a slot with a number that stays its own; freed slots are used again, lowest first,
// and hold a new value until then. References are void after FindOrAdd.
template <class Value>
class SlotMap {
 public:
  // The slot of a key; a key that is not there gets a slot with a new value.
  std::size_t FindOrAdd(std::uint64_t key) {
    const auto known = slots_.find(key);
    if (known != slots_.end()) return known->second;
    const auto slot =
        static_cast<std::size_t>(std::find(keys_.begin(), keys_.end(), std::nullopt) - keys_.begin());
    if (slot == keys_.size()) {
      keys_.emplace_back();
      values_.emplace_back();
    }
    keys_[slot] = key;
    slots_[key] = slot;
    return slot;
  }

  // Frees the slots in use whose value answers to the predicate.
  template <class Predicate>
  void EraseIf(Predicate predicate) {
    for (std::size_t slot = 0; slot < values_.size(); ++slot) {
      if (!keys_[slot] || !predicate(values_[slot])) continue;
      slots_.erase(*keys_[slot]);
      keys_[slot] = std::nullopt;
      values_[slot] = Value{};
    }
  }

  // By slot, free ones included.
  Value& operator[](std::size_t slot) { return values_[slot]; }
  const Value& operator[](std::size_t slot) const { return values_[slot]; }
  std::vector<Value>& Values() { return values_; }

 private:
  std::vector<Value> values_;
  std::vector<std::optional<std::uint64_t>> keys_;  // by slot
  std::unordered_map<std::uint64_t, std::size_t> slots_;
};

}  // namespace tinspan
