// Bounds the memory that the buffers of many connections hold together.
#pragma once

#include <cstddef>
#include <utility>

namespace tinspan::net {

/// Counts the bytes that buffers hold and the buffers that wait for more. Not thread-safe; must outlive the
/// reservations made from it.
class MemoryBudget {
 public:
  explicit MemoryBudget(std::size_t max_bytes) : max_bytes_(max_bytes) {}
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;
  ~MemoryBudget() = default;

  std::size_t MaxBytes() const { return max_bytes_; }
  std::size_t UsedBytes() const { return used_bytes_; }
  /// Whether a reservation was refused and has not been granted since.
  bool HasWaiters() const { return waiters_ > 0; }
  /// Whether memory was released since the last call while a reservation waits: the owner of the waiting
  /// connections then lets them try again.
  bool TakeReleased() { return std::exchange(is_released_, false) && HasWaiters(); }

 private:
  friend class MemoryReservation;

  // The only holder may exceed the budget, so that a message larger than it can be received.
  bool CanHold(std::size_t bytes, std::size_t held_bytes) const {
    return used_bytes_ - held_bytes + bytes <= max_bytes_ || used_bytes_ == held_bytes;
  }

  // Half of the budget is left to those that cannot do without.
  bool CanHoldOptional(std::size_t bytes, std::size_t held_bytes) const {
    return used_bytes_ - held_bytes + bytes <= max_bytes_ / 2;
  }

  std::size_t max_bytes_;
  std::size_t used_bytes_ = 0;
  std::size_t waiters_ = 0;
  bool is_released_ = false;
};

/// The part of a budget that one buffer holds; released at the end of its life.
class MemoryReservation {
 public:
  /// Without a budget every size is granted.
  explicit MemoryReservation(MemoryBudget* budget) : budget_(budget) {}
  MemoryReservation(const MemoryReservation&) = delete;
  MemoryReservation& operator=(const MemoryReservation&) = delete;
  ~MemoryReservation() { Resize(0); }

  std::size_t Bytes() const { return bytes_; }
  /// Whether the last TryResize was refused.
  bool IsWaiting() const { return is_waiting_; }
  /// Changes the size if the budget allows it; a smaller size is always granted.
  bool TryResize(std::size_t bytes) {
    const bool is_granted = budget_ == nullptr || bytes <= bytes_ || budget_->CanHold(bytes, bytes_);
    if (is_granted) {
      Resize(bytes);
    } else {
      SetWaiting(true);
    }
    return is_granted;
  }
  /// Changes the size if much of the budget is free. A refusal does not count as waiting: the caller can do
  /// without.
  bool TryResizeOptional(std::size_t bytes) {
    if (budget_ != nullptr && bytes > bytes_ && !budget_->CanHoldOptional(bytes, bytes_)) return false;
    Resize(bytes);
    return true;
  }
  /// Changes the size even if that exceeds the budget.
  void Resize(std::size_t bytes) {
    SetWaiting(false);
    if (budget_ == nullptr) return;
    if (bytes < bytes_) budget_->is_released_ = true;
    budget_->used_bytes_ += bytes - bytes_;
    bytes_ = bytes;
  }

 private:
  void SetWaiting(bool is_waiting) {
    if (budget_ == nullptr || std::exchange(is_waiting_, is_waiting) == is_waiting) return;
    budget_->waiters_ += is_waiting ? 1 : -1;
  }

  MemoryBudget* budget_;
  std::size_t bytes_ = 0;
  bool is_waiting_ = false;
};

}  // namespace tinspan::net
