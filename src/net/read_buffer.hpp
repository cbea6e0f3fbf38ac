// The bytes that a connection has received and its owner has not consumed.
#pragma once

#include <algorithm>
#include <cstddef>
#include <memory>
#include <span>
#include <string_view>

namespace tinspan::net {

/// A contiguous receive buffer that holds exactly the memory it was last resized to. Not thread-safe.
class ReadBuffer {
 public:
  /// Bytes of memory that the buffer holds.
  std::size_t Capacity() const { return capacity_; }
  /// The bytes that were received and not consumed, valid until Resize().
  std::string_view Unread() const { return {bytes_.get() + begin_, end_ - begin_}; }
  /// The space behind the unread bytes.
  std::span<char> FreeSpace() { return {bytes_.get() + end_, capacity_ - end_}; }
  /// Adds the first `count` bytes of FreeSpace() to the unread ones.
  void Commit(std::size_t count) { end_ += count; }
  /// Removes the first `count` unread bytes; the memory is kept.
  void Consume(std::size_t count) {
    begin_ += count;
    if (begin_ == end_) begin_ = end_ = 0;
  }
  /// Moves the unread bytes to the front, so that the space of consumed ones can be used again.
  void Compact() {
    if (begin_ == 0) return;
    std::copy(bytes_.get() + begin_, bytes_.get() + end_, bytes_.get());
    end_ -= begin_;
    begin_ = 0;
  }
  /// Changes the capacity to `bytes`, at least the size of Unread(). 0 frees the memory.
  void Resize(std::size_t bytes) {
    Bytes resized;
    if (bytes > 0)
      resized = std::make_unique_for_overwrite<char[]>(bytes);  // NOLINT(modernize-avoid-c-arrays)
    std::copy(bytes_.get() + begin_, bytes_.get() + end_, resized.get());
    bytes_ = std::move(resized);
    capacity_ = bytes;
    end_ -= begin_;
    begin_ = 0;
  }

 private:
  // The size is known at run time only, and a vector would write zeros first.
  using Bytes = std::unique_ptr<char[]>;  // NOLINT(modernize-avoid-c-arrays)

  Bytes bytes_;
  std::size_t capacity_ = 0;
  std::size_t begin_ = 0;  // [begin_, end_) is unread
  std::size_t end_ = 0;
};

}  // namespace tinspan::net
