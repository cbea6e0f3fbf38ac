#include "record/frame.hpp"

#include <xxhash.h>

#include <algorithm>

namespace tinspan::record {
namespace {

// An incomplete frame with at least this many bytes behind its start may have a damaged length, so the search
// for a valid frame starts although the frame might still become complete.
constexpr std::size_t kMaxTrustedIncomplete = 64 << 10;
// Processed bytes are removed from the buffer once there are more than this.
constexpr std::size_t kCompactThreshold = 64 << 10;

void AppendLittleEndian(std::string& out, std::uint64_t value, int bytes) {
  for (int i = 0; i < bytes; ++i) out += static_cast<char>(value >> (8 * i) & 255);
}
std::uint64_t ReadLittleEndian(const char* data, int bytes) {
  std::uint64_t value = 0;
  for (int i = bytes - 1; i >= 0; --i) value = value << 8 | static_cast<unsigned char>(data[i]);
  return value;
}
// The length seeds the digest, so that a changed length is detected as well.
std::uint64_t Digest(std::string_view message) {
  return XXH3_64bits_withSeed(message.data(), message.size(), message.size() + 1);
}

}  // namespace

void AppendFrame(std::string& out, std::string_view message) {
  AppendLittleEndian(out, message.size(), 4);
  AppendLittleEndian(out, Digest(message), 8);
  out.append(message);
}

std::size_t FrameSize(std::string_view bytes) { return kFrameHeaderSize + ReadLittleEndian(bytes.data(), 4); }

void FrameReader::Feed(std::string_view bytes) {
  if (position_ > kCompactThreshold) {
    buffer_.erase(0, position_);
    buffer_offset_ += position_;
    scan_position_ -= std::min(scan_position_, position_);
    position_ = 0;
  }
  buffer_.append(bytes);
}

std::size_t FrameReader::ValidFrameSize(std::size_t position) const {
  const std::size_t available = buffer_.size() - position;
  if (available < kFrameHeaderSize) return kIncomplete;
  const std::size_t length = ReadLittleEndian(buffer_.data() + position, 4);
  if (length == 0 || length > kMaxMessageSize) return 0;
  if (available < kFrameHeaderSize + length) return kIncomplete;
  const std::string_view message = std::string_view(buffer_).substr(position + kFrameHeaderSize, length);
  return ReadLittleEndian(buffer_.data() + position + 4, 8) == Digest(message) ? kFrameHeaderSize + length
                                                                               : 0;
}

FrameReader::State FrameReader::ReportDamage(std::size_t end) {
  damage_offset_ = buffer_offset_ + position_;
  damage_size_ = end - position_;
  position_ = scan_position_ = end;
  is_scanning_ = false;
  return State::kDamage;
}

FrameReader::State FrameReader::Next() {
  if (!has_magic_) {
    const std::string_view start = std::string_view(buffer_).substr(0, kMagic.size());
    if (start != kMagic.substr(0, start.size())) return State::kForeign;
    if (start.size() < kMagic.size()) return State::kMore;
    has_magic_ = true;
    position_ = kMagic.size();
  }
  if (!is_scanning_) {
    const std::size_t size = ValidFrameSize(position_);
    if (size == kIncomplete) {
      const std::size_t available = buffer_.size() - position_;
      if (available == 0 || (!is_at_end_ && available < kMaxTrustedIncomplete)) return State::kMore;
    } else if (size > 0) {
      message_ = std::string_view(buffer_).substr(position_ + kFrameHeaderSize, size - kFrameHeaderSize);
      message_offset_ = buffer_offset_ + position_;
      position_ += size;
      return State::kMessage;
    }
    is_scanning_ = true;
    // A frame that is incomplete may still become complete.
    scan_position_ = size == kIncomplete && !is_at_end_ ? position_ : position_ + 1;
  }
  // A position with an incomplete frame is examined again when the file has grown, unless a valid frame is
  // found behind it.
  std::size_t first_incomplete = buffer_.size();
  for (std::size_t position = scan_position_; position < buffer_.size(); ++position) {
    const std::size_t size = ValidFrameSize(position);
    if (size == kIncomplete) {
      first_incomplete = std::min(first_incomplete, position);
    } else if (size > 0) {
      if (position > position_) return ReportDamage(position);
      is_scanning_ = false;
      return Next();
    }
  }
  scan_position_ = first_incomplete;
  return is_at_end_ ? ReportDamage(buffer_.size()) : State::kMore;
}

FrameReader::State FrameReader::End() {
  is_at_end_ = true;
  return Next();
}

}  // namespace tinspan::record
