#include "record/frame.hpp"

#include <xxhash.h>

#include <algorithm>

namespace tinspan::record {
namespace {

constexpr std::size_t kDoubt = 64 << 10;

void PutLittle(std::string& out, std::uint64_t value, int bytes) {
  for (int i = 0; i < bytes; ++i) out += static_cast<char>(value >> (8 * i) & 255);
}
std::uint64_t GetLittle(const char* at, int bytes) {
  std::uint64_t value = 0;
  for (int i = bytes - 1; i >= 0; --i) value = value << 8 | static_cast<unsigned char>(at[i]);
  return value;
}
// The length seeds the digest, so that one that was changed is seen as well.
std::uint64_t Digest(std::string_view message) {
  return XXH3_64bits_withSeed(message.data(), message.size(), message.size() + 1);
}

}  // namespace

void AppendFrame(std::string& out, std::string_view message) {
  PutLittle(out, message.size(), 4);
  PutLittle(out, Digest(message), 8);
  out.append(message);
}

std::size_t FrameSize(std::string_view bytes) { return kFrameHead + GetLittle(bytes.data(), 4); }

void FrameReader::Feed(std::string_view bytes) {
  if (at_ > (64 << 10)) {
    buffer_.erase(0, at_);
    base_ += at_;
    probe_ -= std::min(probe_, at_);
    at_ = 0;
  }
  buffer_.append(bytes);
}

std::size_t FrameReader::FrameAt(std::size_t at) const {
  const std::size_t left = buffer_.size() - at;
  if (left < kFrameHead) return kPartial;
  const std::size_t length = GetLittle(buffer_.data() + at, 4);
  if (length == 0 || length > kMostMessage) return 0;
  if (left < kFrameHead + length) return kPartial;
  const std::string_view message = std::string_view(buffer_).substr(at + kFrameHead, length);
  return GetLittle(buffer_.data() + at + 4, 8) == Digest(message) ? kFrameHead + length : 0;
}

FrameReader::State FrameReader::Damaged(std::size_t until) {
  damage_at_ = base_ + at_;
  damage_size_ = until - at_;
  at_ = probe_ = until;
  lost_ = false;
  return State::kDamage;
}

FrameReader::State FrameReader::Next() {
  if (!started_) {
    const std::string_view begin = std::string_view(buffer_).substr(0, kMagic.size());
    if (begin != kMagic.substr(0, begin.size())) return State::kForeign;
    if (begin.size() < kMagic.size()) return State::kMore;
    started_ = true;
    at_ = kMagic.size();
  }
  if (!lost_) {
    const std::size_t size = FrameAt(at_);
    if (size == kPartial) {
      const std::size_t left = buffer_.size() - at_;
      // So much behind it that a length which claims more is doubted: what follows is looked through.
      if (left == 0 || (!ended_ && left < kDoubt)) return State::kMore;
    } else if (size > 0) {
      message_ = std::string_view(buffer_).substr(at_ + kFrameHead, size - kFrameHead);
      message_at_ = base_ + at_;
      at_ += size;
      return State::kMessage;
    }
    lost_ = true;
    probe_ = size == kPartial && !ended_ ? at_ : at_ + 1;  // a doubted one may yet come whole
  }
  // A place whose frame is not all there yet stays in question while the file grows; one that holds behind it
  // settles it.
  std::size_t open = buffer_.size();
  for (std::size_t at = probe_; at < buffer_.size(); ++at) {
    const std::size_t size = FrameAt(at);
    if (size == kPartial) {
      open = std::min(open, at);
    } else if (size > 0) {
      if (at > at_) return Damaged(at);
      lost_ = false;
      return Next();
    }
  }
  probe_ = open;
  return ended_ ? Damaged(buffer_.size()) : State::kMore;
}

FrameReader::State FrameReader::End() {
  ended_ = true;
  return Next();
}

}  // namespace tinspan::record
