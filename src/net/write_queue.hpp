// The bytes of a connection that its socket has not taken yet.
#pragma once

#include <sys/uio.h>

#include <algorithm>
#include <cstddef>
#include <deque>
#include <span>
#include <string>
#include <string_view>

namespace tinspan::net {

/// A queue of bytes in blocks, so that it holds little more memory than it has bytes: a block is freed once
/// it is sent, and blocks are not copied when the queue grows. Not thread-safe.
class WriteQueue {
 public:
  static constexpr std::size_t kMinBlockBytes = 1 << 10;
  static constexpr std::size_t kMaxBlockBytes = (32 << 10) - 64;  // with the allocator's header: whole pages

  bool IsEmpty() const { return blocks_.empty(); }
  /// Bytes of memory that the blocks hold.
  std::size_t HeldBytes() const { return held_bytes_; }

  /// Adds a copy of `bytes` at the end.
  void Append(std::string_view bytes) {
    while (!bytes.empty()) {
      if (blocks_.empty() || blocks_.back().size() == blocks_.back().capacity()) AddBlock(bytes.size());
      std::string& last = blocks_.back();
      const std::size_t count = std::min(bytes.size(), last.capacity() - last.size());
      last.append(bytes.substr(0, count));
      bytes.remove_prefix(count);
    }
  }

  /// Fills `parts` with the first blocks, in order; returns how many. They are valid until the next call that
  /// changes the queue.
  std::size_t Front(std::span<iovec> parts) {
    const std::size_t count = std::min(parts.size(), blocks_.size());
    for (std::size_t index = 0; index < count; ++index) {
      const std::size_t begin = index == 0 ? begin_ : 0;
      parts[index] = {blocks_[index].data() + begin, blocks_[index].size() - begin};
    }
    return count;
  }

  /// Removes the first `bytes` bytes.
  void RemovePrefix(std::size_t bytes) {
    while (bytes > 0) {
      const std::size_t count = std::min(bytes, blocks_.front().size() - begin_);
      bytes -= count;
      begin_ += count;
      if (begin_ < blocks_.front().size()) return;
      held_bytes_ -= blocks_.front().capacity();
      blocks_.pop_front();
      begin_ = 0;
    }
  }

 private:
  void AddBlock(std::size_t wanted) {
    blocks_.emplace_back().reserve(std::clamp(wanted, kMinBlockBytes, kMaxBlockBytes));
    held_bytes_ += blocks_.back().capacity();
  }

  std::deque<std::string> blocks_;  // none is empty
  std::size_t begin_ = 0;           // bytes of the first block that were sent
  std::size_t held_bytes_ = 0;
};

}  // namespace tinspan::net
