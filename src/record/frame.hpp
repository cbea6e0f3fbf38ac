// The framing of messages in a segment: the magic, then frames of `length, digest, message`.
//
// A frame is 4 bytes of length (little endian), 8 bytes of XXH3-64 over the length and the message, and the
// message itself. After an invalid frame a reader searches byte by byte for the next valid one: the bytes
// between are lost and reported, never guessed. Pure: bytes in, bytes out.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace tinspan::record {

inline constexpr std::string_view kMagic = "TSPNREC\x01";  // the last byte is the version of the framing
inline constexpr std::uint32_t kFormat = 1;                // version of the messages: Header.format
inline constexpr std::size_t kFrameHeaderSize = 12;
inline constexpr std::size_t kMaxMessageSize = 1 << 20;

void AppendFrame(std::string& out, std::string_view message);
// Returns the size, with its header, of the frame at the start of `bytes`, which AppendFrame must have
// written.
std::size_t FrameSize(std::string_view bytes);

// Splits the bytes of one segment into messages while they arrive. Not thread-safe.
class FrameReader {
 public:
  enum class State {
    kMessage,  // Message() returns the next message
    kDamage,   // DamageSize() bytes from DamageOffset() on are unreadable
    kMore,     // more bytes are needed, or the end is reached
    kForeign   // the file does not start with kMagic: nothing in it can be read
  };
  void Feed(std::string_view bytes);
  State Next();
  std::string_view Message() const { return message_; }  // valid until the next Feed, Next or End
  std::uint64_t MessageOffset() const { return message_offset_; }
  std::uint64_t DamageOffset() const { return damage_offset_; }
  std::uint64_t DamageSize() const { return damage_size_; }
  // As Next, once there are no more bytes: an incomplete frame at the end is damage. Messages may follow
  // skipped damage, so it must be called until it returns kMore.
  State End();
  // In the file, of the first unprocessed byte.
  std::uint64_t Offset() const { return buffer_offset_ + position_; }

 private:
  static constexpr std::size_t kIncomplete = ~std::size_t{0};
  // Returns the size, with its header, of a valid frame at `position` of the buffer; 0 if there is none;
  // kIncomplete if more bytes are needed to know.
  std::size_t ValidFrameSize(std::size_t position) const;
  State ReportDamage(std::size_t end);

  std::string buffer_;
  std::uint64_t buffer_offset_ = 0;  // in the file, of the first byte of buffer_
  std::size_t position_ = 0;         // in buffer_, of the first unprocessed byte
  std::size_t scan_position_ = 0;    // in buffer_: the search for the next valid frame continues here
  bool is_scanning_ = false;         // no trusted frame at position_: searching for the next valid one
  bool has_magic_ = false;           // the magic was read
  bool is_at_end_ = false;
  std::string_view message_;
  std::uint64_t message_offset_ = 0;
  std::uint64_t damage_offset_ = 0;
  std::uint64_t damage_size_ = 0;
};

}  // namespace tinspan::record
