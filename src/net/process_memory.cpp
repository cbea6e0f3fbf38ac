#include "net/process_memory.hpp"

#include <malloc.h>
#include <unistd.h>

#include <fstream>

namespace tinspan::net {
namespace {

std::size_t ReadResidentBytes() {
  std::ifstream statm("/proc/self/statm");
  std::size_t total_pages = 0;
  std::size_t resident_pages = 0;
  statm >> total_pages >> resident_pages;
  return resident_pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

// Blocks from this size on are mapped one by one.
constexpr int kMinMappedBlockBytes = 1 << 20;
constexpr int kMaxFreeBytesAtHeapEnd = 4 << 20;

}  // namespace

ProcessMemory ReadProcessMemory() {
  const struct mallinfo2 heap = ::mallinfo2();
  return {.resident_bytes = ReadResidentBytes(),
          .heap_used_bytes = heap.uordblks,
          .heap_free_bytes = heap.fordblks,
          .mapped_bytes = heap.hblkhd};
}

void ReturnLargeBlocksWhenFreed() {
  ::mallopt(M_MMAP_THRESHOLD, kMinMappedBlockBytes);
  ::mallopt(M_TRIM_THRESHOLD, kMaxFreeBytesAtHeapEnd);
}

void TrimHeap() { ::malloc_trim(0); }

}  // namespace tinspan::net
