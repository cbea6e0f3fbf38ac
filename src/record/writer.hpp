// Puts a recorder's bytes on disk from a thread of its own, so that a disk that is slow, full or gone never
// holds up the loop: the loop only ever appends to a list in memory, under a lock that the thread holds for
// no longer than it takes to swap that list.
#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "tinspan/router.hpp"

namespace tinspan::record {

class Writer {
 public:
  struct Order {                      // carried out in this order
    std::vector<std::string> remove;  // files
    std::string open;                 // a new file to write to from now on; empty: the one before
    std::string bytes;
  };
  Writer();
  // Waits a little for what was given; a disk that hangs does not hold up the end of the program.
  ~Writer();
  Writer(const Writer&) = delete;
  Writer& operator=(const Writer&) = delete;

  void Give(Order order);
  std::size_t Waiting() const;  // bytes given and not written
  // Why a write or an open failed since the last call, or empty. Nothing more is written until an order opens
  // another file.
  std::string TakeFailure();
  // Whether all that was given has been written (or given up) within that time.
  bool Settle(Micros most);

 private:
  struct State;
  std::shared_ptr<State> state_;  // the thread's as well: it may outlive us
};

}  // namespace tinspan::record
