// Tests the client of the key-value store over loopback connections; the test plays the store.
#include "lease/kv_store.hpp"

#include <gtest/gtest.h>

#include <optional>
#include <string>

#include "../net/tcp.hpp"

namespace tinspan::lease {
namespace {

constexpr Micros kTimeout{2'000'000};
constexpr Micros kPollWait{10'000};

// The response to a read of the record {"number":1}, stored at `index`.
std::string RecordResponse(int index) {
  const std::string body =
      R"([{"Flags":5,"Value":"eyJudW1iZXIiOjF9","ModifyIndex":)" + std::to_string(index) + "}]";
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

class KvStoreTest : public testing::Test {
 protected:
  // Runs the event loop until `is_done`, for 2 s at most.
  template <class Condition>
  void RunUntil(Condition is_done) {
    for (const Micros end = net::Now() + kTimeout; !is_done() && net::Now() < end;) {
      loop_.Poll(kPollWait);
      loop_.Timers().Run(net::Now());
    }
  }
  // Waits for the result of the pending read and returns the index of the record, or 0 after a failure.
  std::uint64_t ReadIndex() {
    RunUntil([this] { return result_.has_value(); });
    const auto* const record = result_ && *result_ ? std::get_if<StoredRecord>(&**result_) : nullptr;
    result_.reset();
    return record != nullptr ? record->index : 0;
  }
  TcpPeer AcceptRead() {
    RunUntil([this] { return !server_.HasNoConnectionFor(0); });
    TcpPeer peer = server_.Accept();
    RunUntil([&] { return !peer.IsSilentFor(0); });
    peer.ReadUntil("\r\n\r\n");
    return peer;
  }

  net::EventLoop loop_;
  TcpListener server_;
  std::optional<StoreResult> result_;
  KvStore store_{loop_, net::Endpoint::Parse(server_.Address()).value(), "shop/health", kTimeout,
                 [this](const StoreResult& result) { result_ = result; }};
};

// Guards against a second response of the store being taken for the response to the next request: a stale
// record would be read (docs/incidents/2026-12-04-second-response.md).
TEST_F(KvStoreTest, ReadsNoSecondResponse) {
  store_.Read();
  const TcpPeer first = AcceptRead();
  first.Send(RecordResponse(7) + RecordResponse(7));
  EXPECT_EQ(ReadIndex(), 7u);
  store_.Read();
  RunUntil([this] { return !server_.HasNoConnectionFor(0); });
  ASSERT_FALSE(server_.HasNoConnectionFor(0)) << "the connection was used again";
  const TcpPeer second = AcceptRead();
  second.Send(RecordResponse(14));
  EXPECT_EQ(ReadIndex(), 14u);
}

}  // namespace
}  // namespace tinspan::lease
