// Writes a recorder's bytes to disk on a thread of its own, so that a slow, full or missing disk never blocks
// the event loop. The loop only appends to a list in memory; the thread holds the lock of that list only
// while it swaps it.
#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "tinspan/router.hpp"

namespace tinspan::record {

// Thread-safe.
class Writer {
 public:
  struct Batch {                         // executed in the order of its members
    std::vector<std::string> old_paths;  // files to delete
    std::string new_path;                // a file to create and write to from now on; empty: the current one
    std::string bytes;
  };
  Writer();
  // Waits a limited time for pending batches, so that a hanging disk does not hold up the end of the program.
  ~Writer();
  Writer(const Writer&) = delete;
  Writer& operator=(const Writer&) = delete;

  void Enqueue(Batch batch);
  // Bytes that are enqueued and not yet written.
  std::size_t PendingBytes() const;
  // Returns why a write or an open failed since the last call; empty if none did. After a failure nothing is
  // written until a batch opens another file.
  std::string TakeFailure();
  // Waits until all batches are written or have failed. Returns false if that takes longer than `timeout`.
  bool WaitUntilIdle(Micros timeout);

 private:
  struct State;
  std::shared_ptr<State> state_;  // shared with the thread, which may outlive this object
};

}  // namespace tinspan::record
