#include "net/write_queue.hpp"

#include <gtest/gtest.h>

#include <array>
#include <random>

namespace tinspan::net {
namespace {

std::string FrontOf(WriteQueue& queue) {
  std::array<iovec, 16> parts{};
  std::string out;
  const std::size_t count = queue.Front(parts);
  for (std::size_t index = 0; index < count; ++index)
    out.append(static_cast<const char*>(parts[index].iov_base), parts[index].iov_len);
  return out;
}

TEST(WriteQueueTest, ReturnsTheBytesInTheirOrder) {
  std::mt19937 random(20261205);
  WriteQueue queue;
  std::string expected;
  for (int step = 0; step < 2'000; ++step) {
    const std::string bytes(random() % 50'000, static_cast<char>('a' + step % 26));
    queue.Append(bytes);
    expected += bytes;
    const std::string front = FrontOf(queue);
    ASSERT_EQ(expected.compare(0, front.size(), front), 0);
    const std::size_t sent = front.empty() ? 0 : random() % (front.size() + 1);
    queue.RemovePrefix(sent);
    expected.erase(0, sent);
    ASSERT_EQ(queue.IsEmpty(), expected.empty());
  }
}

// Guards against a queue that holds a multiple of its bytes: what was sent stayed in it until more than half
// was, and growing doubled it.
TEST(WriteQueueTest, HoldsLittleMoreThanItsBytes) {
  WriteQueue queue;
  const std::string response(240'000, 'x');
  for (int count = 0; count < 32; ++count) queue.Append(response);
  EXPECT_LE(queue.HeldBytes(), 32 * response.size() + 2 * WriteQueue::kMaxBlockBytes);
  for (std::size_t left = 32 * response.size(); left > 0;) {
    const std::size_t sent = std::min<std::size_t>(left, 50'000);
    queue.RemovePrefix(sent);
    left -= sent;
    EXPECT_LE(queue.HeldBytes(), left + 2 * WriteQueue::kMaxBlockBytes);
  }
  EXPECT_EQ(queue.HeldBytes(), 0u);
}

}  // namespace
}  // namespace tinspan::net
