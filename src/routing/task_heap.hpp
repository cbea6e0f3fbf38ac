// A heap of timed tasks that does not keep obsolete ones until they are due.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace tinspan {

// A priority queue whose top is the greatest entry. Entries cannot be removed one by one; Prune() removes the
// obsolete ones in amortized constant time per Push().
template <class Entry>
class TaskHeap {
 public:
  bool IsEmpty() const { return entries_.empty(); }
  std::size_t Size() const { return entries_.size(); }
  const Entry& Top() const { return entries_.front(); }

  void Push(const Entry& entry) {
    entries_.push_back(entry);
    std::push_heap(entries_.begin(), entries_.end());
  }

  void Pop() {
    std::pop_heap(entries_.begin(), entries_.end());
    entries_.pop_back();
  }

  // Removes the obsolete entries once there are twice as many entries as were left the last time. The order
  // of the others does not change.
  template <class Predicate>
  void Prune(Predicate is_obsolete) {
    if (entries_.size() < prune_at_) return;
    std::erase_if(entries_, is_obsolete);
    std::make_heap(entries_.begin(), entries_.end());
    prune_at_ = std::max(kMinPruneSize, 2 * entries_.size());
    entries_.shrink_to_fit();
    entries_.reserve(prune_at_);
  }

 private:
  static constexpr std::size_t kMinPruneSize = 4096;

  std::vector<Entry> entries_;
  std::size_t prune_at_ = kMinPruneSize;
};

}  // namespace tinspan
