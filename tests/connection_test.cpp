// The memory of one connection's buffers, over a pair of connected sockets.
#include "net/connection.hpp"

#include <gtest/gtest.h>
#include <sys/socket.h>

#include <array>
#include <string>
#include <thread>

namespace tinspan::net {
namespace {

constexpr std::size_t kUnreservedBytes = 8 << 10;
constexpr std::size_t kBudgetBytes = 16 << 20;

// Receives messages of a fixed size and leaves what follows them unread, as the owners of connections do.
class MessageReceiver final : public Connection::Owner {
 public:
  explicit MessageReceiver(std::size_t message_bytes) : message_bytes_(message_bytes) {}

  void OnData(Connection& connection) override {
    if (connection.Unread().size() < message_bytes_) return connection.ExpectMessage(message_bytes_);
    connection.Consume(message_bytes_);
    ++received_;
  }
  void OnClosed(Connection&) override {}
  int Received() const { return received_; }

 private:
  std::size_t message_bytes_;
  int received_ = 0;
};

// A connection that a test writes to from another thread.
class ReadBufferTest : public testing::TestWithParam<std::size_t> {
 protected:
  ReadBufferTest() {
    std::array<int, 2> sockets{};
    EXPECT_EQ(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, sockets.data()), 0);
    accepted_ = Fd(sockets[0]);
    peer_ = Fd(sockets[1]);
  }

  // Sends all bytes while the loop receives them; returns once `receiver` has its messages.
  void Receive(const std::string& bytes, const MessageReceiver& receiver, int messages) {
    std::size_t sent = 0;
    for (int round = 0; round < kMaxRounds && (receiver.Received() < messages || sent < bytes.size());
         ++round) {
      const ssize_t count = ::send(peer_.Get(), bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (count > 0) sent += static_cast<std::size_t>(count);
      loop_.Poll(Micros{1000});
    }
    loop_.Poll(Micros{1000});
  }

  static constexpr int kMaxRounds = 10'000;

  EventLoop loop_;
  MemoryBudget budget_{kBudgetBytes};
  Fd accepted_;
  Fd peer_;
};

// Guards against a read buffer that keeps its memory once its message is consumed although the budget counts
// it as released: assigning a short string to the buffer keeps its capacity. `GetParam()` is the part of the
// next message that is left unread.
TEST_P(ReadBufferTest, HoldsNoMoreThanItHasReservedAfterALargeMessage) {
  constexpr std::size_t kMessageBytes = 240'000;
  MessageReceiver receiver(kMessageBytes);
  Connection connection(
      loop_, std::move(accepted_), receiver,
      {.max_read_bytes = 64 << 10, .read_budget = &budget_, .unreserved_read_bytes = kUnreservedBytes});
  Receive(std::string(kMessageBytes + GetParam(), 'x'), receiver, 1);
  ASSERT_EQ(receiver.Received(), 1);
  EXPECT_EQ(connection.Unread().size(), GetParam());
  EXPECT_LE(connection.ReadBufferBytes(), connection.ReservedReadBytes() + kUnreservedBytes);
}

// The same without a budget: an empty buffer is not kept at the size of the largest message.
TEST_P(ReadBufferTest, ShrinksWithoutABudget) {
  constexpr std::size_t kMessageBytes = 240'000;
  constexpr std::size_t kMaxIdleBytes = 64 << 10;
  MessageReceiver receiver(kMessageBytes);
  Connection connection(loop_, std::move(accepted_), receiver, {.max_read_bytes = 64 << 10});
  Receive(std::string(kMessageBytes + GetParam(), 'x'), receiver, 1);
  ASSERT_EQ(receiver.Received(), 1);
  EXPECT_LE(connection.ReadBufferBytes(), kMaxIdleBytes);
}

INSTANTIATE_TEST_SUITE_P(BytesOfTheNextMessage, ReadBufferTest, testing::Values(0, 1, 15, 16, 400, 4096));

}  // namespace
}  // namespace tinspan::net
