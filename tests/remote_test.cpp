// Tests the console's reader of a running gateway's records over loopback connections; the test plays the
// gateway.
#include "console/remote.hpp"

#include <gtest/gtest.h>

#include <string>

#include "net/tcp.hpp"

namespace tinspan::console {
namespace {

constexpr Micros kWaitLimit{2'000'000};
constexpr Micros kPollWait{10'000};

class NoRecords final : public record::RecordSink {
 public:
  void OnRecord(const record::SegmentName&, Micros, const record::wire::Record&) override {}
  void OnReadError(const record::ReadError&) override {}
};

// A response without records, after which the next request asks for `next_offset`.
std::string EmptyResponse(int next_offset) {
  return "HTTP/1.1 200 OK\r\nTinspan-Next: " + std::to_string(next_offset) + "\r\nContent-Length: 0\r\n\r\n";
}

class RemoteTest : public testing::Test {
 protected:
  // Runs the event loop until `is_done`, for kWaitLimit at most.
  template <class Condition>
  void RunUntil(Condition is_done) {
    for (const Micros end = net::Now() + kWaitLimit; !is_done() && net::Now() < end;) {
      loop_.Poll(kPollWait);
      loop_.Timers().Run(net::Now());
      remote_.ReleaseClosedConnection();
    }
  }
  bool HasConnection() const { return !gateway_.HasNoConnectionFor(0); }
  // Accepts a connection and returns it with the first line of the request on it.
  std::pair<TcpPeer, std::string> AcceptRequest() {
    RunUntil([this] { return HasConnection(); });
    TcpPeer peer = gateway_.Accept();
    RunUntil([&] { return !peer.IsSilentFor(0); });
    std::string line = peer.ReadUntil("\r\n");
    peer.ReadUntil("\r\n\r\n");
    return {std::move(peer), std::move(line)};
  }

  net::EventLoop loop_;
  TcpListener gateway_;
  NoRecords sink_;
  Remote remote_{loop_, net::Endpoint::Parse(gateway_.Address()).value(), "token", sink_};
};

// Guards against a second response being taken for the response to the next request: the offset would go
// back and records would be read twice (docs/incidents/2026-12-04-second-response.md).
TEST_F(RemoteTest, ReadsNoSecondResponse) {
  const auto [first, first_line] = AcceptRequest();
  EXPECT_EQ(first_line, "GET /-/records?offset=0 HTTP/1.1");
  first.Send(EmptyResponse(100) + EmptyResponse(50));
  RunUntil([this] { return HasConnection(); });
  ASSERT_TRUE(HasConnection()) << "the connection was used again";
  EXPECT_EQ(AcceptRequest().second, "GET /-/records?offset=100 HTTP/1.1");
}

}  // namespace
}  // namespace tinspan::console
