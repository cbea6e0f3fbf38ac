// Decides when the allocator should return free memory to the system. Without I/O.
#pragma once

#include <algorithm>
#include <cstddef>

#include "net/process_memory.hpp"

namespace tinspan::net {

/// Asks for a trim once much of the heap is free and the process has grown since the last one. Trimming again
/// without growth would cost time and return nothing, since the allocator counts returned pages as free.
class HeapTrimPolicy {
 public:
  static constexpr std::size_t kMinFreeBytes = 2 << 20;

  bool ShouldTrim(const ProcessMemory& memory) {
    resident_after_trim_ = std::min(resident_after_trim_, memory.resident_bytes);
    const bool has_grown = memory.resident_bytes >= resident_after_trim_ + kMinFreeBytes;
    return has_grown && memory.heap_free_bytes >= kMinFreeBytes;
  }
  /// Call this with the figures after a trim.
  void OnTrimmed(const ProcessMemory& memory) { resident_after_trim_ = memory.resident_bytes; }

 private:
  std::size_t resident_after_trim_ = 0;
};

}  // namespace tinspan::net
