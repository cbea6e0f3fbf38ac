// How messages stand in a segment: the magic, then frames of `length, digest, message`.
//
// A frame is 4 bytes of length (little endian), 8 bytes of XXH3-64 over the length and the message, and the
// message itself. A reader that meets a frame that does not hold looks on byte by byte for the next that
// does: what lies between is lost, and reported, never guessed at. Pure: bytes in, bytes out.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace tinspan::record {

inline constexpr std::string_view kMagic = "TSPNREC\x01";  // the last byte: how messages are framed
inline constexpr std::uint32_t kFormat = 1;                // of the messages: Header.format
inline constexpr std::size_t kFrameHead = 12;
inline constexpr std::size_t kMostMessage = 1 << 20;

void AppendFrame(std::string& out, std::string_view message);
// The whole size of the frame that `bytes` begin with; it must be one that AppendFrame made.
std::size_t FrameSize(std::string_view bytes);

// Splits the bytes of one segment into messages, as they come.
class FrameReader {
 public:
  enum class State {
    kMessage,  // Message() holds the next
    kDamage,   // bytes from DamageAt() on, DamageSize() of them, hold nothing that can be read
    kMore,     // more bytes are needed, or this is the end
    kForeign   // the file does not begin with our magic: nothing in it can be read
  };
  void Feed(std::string_view bytes);
  State Next();
  std::string_view Message() const { return message_; }  // until the next call of either
  std::uint64_t MessageAt() const { return message_at_; }
  std::uint64_t DamageAt() const { return damage_at_; }
  std::uint64_t DamageSize() const { return damage_size_; }
  // No more will come. What was left over is damage (kDamage), else kMore. After damage that was skipped to
  // here, messages may still follow: call until it answers kMore.
  State End();
  std::uint64_t Offset() const { return base_ + at_; }  // of the first byte not yet handed out

 private:
  // Whether a frame that holds stands at `at`: its whole size, 0 if it does not, or kPartial.
  static constexpr std::size_t kPartial = ~std::size_t{0};
  std::size_t FrameAt(std::size_t at) const;
  State Damaged(std::size_t until);

  std::string buffer_;
  std::uint64_t base_ = 0;  // offset in the file of buffer_'s first byte
  std::size_t at_ = 0;
  std::size_t probe_ = 0;  // while looking for the next good frame: how far it was looked
  bool lost_ = false;
  bool started_ = false;
  bool ended_ = false;
  std::string_view message_;
  std::uint64_t message_at_ = 0;
  std::uint64_t damage_at_ = 0;
  std::uint64_t damage_size_ = 0;
};

}  // namespace tinspan::record
