// A map whose values are stored in a vector and keep their index.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace tinspan {

// Values by key. Each is in a slot whose number does not change while the key is present. Free slots hold a
// default value and are reused, lowest first. FindOrAdd invalidates references.
template <class Value>
class SlotMap {
 public:
  // Returns the slot of a key; adds a default value if the key is not present.
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

  // Frees the used slots whose values satisfy the predicate.
  template <class Predicate>
  void EraseIf(Predicate predicate) {
    for (std::size_t slot = 0; slot < values_.size(); ++slot) {
      if (!keys_[slot] || !predicate(values_[slot])) continue;
      slots_.erase(*keys_[slot]);
      keys_[slot] = std::nullopt;
      values_[slot] = Value{};
    }
  }

  // Access by slot, including free slots.
  Value& operator[](std::size_t slot) { return values_[slot]; }
  const Value& operator[](std::size_t slot) const { return values_[slot]; }
  std::vector<Value>& Values() { return values_; }

 private:
  std::vector<Value> values_;
  std::vector<std::optional<std::uint64_t>> keys_;  // by slot
  std::unordered_map<std::uint64_t, std::size_t> slots_;
};

}  // namespace tinspan
