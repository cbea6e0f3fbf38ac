// The memory of this process as the system and the allocator count it.
#pragma once

#include <cstddef>

namespace tinspan::net {

/// What resident memory consists of, in bytes. A figure that the system does not report is 0.
struct ProcessMemory {
  std::size_t resident_bytes = 0;
  std::size_t heap_used_bytes = 0;  // allocated from the heap
  std::size_t heap_free_bytes = 0;  // freed to the allocator, which may still hold the pages
  std::size_t mapped_bytes = 0;     // large blocks that the allocator maps one by one
};

/// Reads the figures; the allocator's take time in proportion to its free blocks.
ProcessMemory ReadProcessMemory();

/// Makes the allocator return large blocks to the system as soon as they are freed. Call this once, at the
/// start of the process: by default the allocator raises its thresholds to the largest block that was freed.
void ReturnLargeBlocksWhenFreed();

/// Returns the free pages of the heap to the system.
void TrimHeap();

}  // namespace tinspan::net
