// Requests that must not be executed twice, at the real program: what is sent again, and when.
#include <thread>

#include "full_backlog.hpp"
#include "platform_world.hpp"

namespace {

constexpr int kSmallBufferBytes = 4096;
// More than a receive buffer of kSmallBufferBytes holds, less than the sending socket takes at once.
constexpr std::size_t kLargeOrderBytes = 12'000;
constexpr const char* kKey = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";

std::string WithReplaced(std::string settings, const std::string& from, const std::string& to) {
  const std::size_t position = settings.find(from);
  CHECK_OR_THROW(position != std::string::npos);
  return settings.replace(position, from.size(), to);
}

// A request of the class "orders" whose client waits for `allow_ms`.
std::string EncodeOrder(const std::string& tag, const std::string& reference, int allow_ms,
                        const std::string& body = "paid") {
  return EncodeCommand({"RPC.CALL", tag, "orders",
                        "ref=" + reference + ",allow=" + std::to_string(allow_ms) + ",replay=" + kKey +
                            ",lookup=7f3a9c21e0b4d655,block=0,family=17,room=10",
                        body});
}

void Sleep(int milliseconds) { std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds)); }

// Makes connections that are accepted from now on hold few unread bytes.
void LimitReceiveBuffer(const TcpListener& server) {
  CHECK_OR_THROW(::setsockopt(server.Descriptor(), SOL_SOCKET, SO_RCVBUF, &kSmallBufferBytes,
                              sizeof kSmallBufferBytes) == 0);
}

// Expects that no server gets another connection soon.
void ExpectNoConnection(const World& world) {
  EXPECT_TRUE(world.cache_a.HasNoConnectionFor(300)) << "cache_a";
  for (const TcpListener* const server : {&world.cache_b, &world.parent, &world.origin}) {
    EXPECT_TRUE(server->HasNoConnectionFor(0)) << server->port;
  }
}

// Guards against an order that runs after its client was told that trying again is harmless: the server does
// not read, the system still holds the rest of the order, and delivers it once the server reads again.
TEST(RepeatSafetyTest, RecallsAnUndeliveredRequestThatIsGivenUp) {
  World world(0, false);
  LimitReceiveBuffer(world.cache_a);
  const std::string body(kLargeOrderBytes, 'w');
  TcpPeer client = world.Client();
  client.Send(EncodeOrder("1", kRequestId, 600, body));
  TcpPeer cache = world.cache_a.Accept();
  ASSERT_EQ(ReadResponse(client)[1], "later");
  Sleep(300);
  EXPECT_EQ(cache.ReadFor(500).find(body), std::string::npos);
}

// Guards against the same after a cancellation: the client asks elsewhere meanwhile.
TEST(RepeatSafetyTest, RecallsAnUndeliveredRequestThatIsCancelled) {
  World world(0, false);
  LimitReceiveBuffer(world.cache_a);
  const std::string body(kLargeOrderBytes, 'w');
  TcpPeer client = world.Client();
  client.Send(EncodeOrder("1", kRequestId, 2'500, body));
  TcpPeer cache = world.cache_a.Accept();
  Sleep(100);
  client.Send(EncodeCommand({"RPC.CANCEL", "1"}));
  Sleep(500);
  EXPECT_EQ(cache.ReadFor(500).find(body), std::string::npos);
}

// Guards against a repeat that reaches its server after the window of the idempotency key: it was written
// within the window, to a server that did not read.
TEST(RepeatSafetyTest, RecallsAnUndeliveredRepeatAtTheEndOfItsWindow) {
  World world(0, true, "1024", "192", WithReplaced(kSettings, "\"windowMs\":6000.0", "\"windowMs\":500.0"));
  LimitReceiveBuffer(world.cache_a);
  LimitReceiveBuffer(world.cache_b);
  const std::string body(kLargeOrderBytes, 'w');
  TcpPeer client = world.Client();
  client.Send(EncodeOrder("1", kRequestId, 3'000, body));
  bool is_first = false;
  TcpPeer cache = AcceptAtChosenCache(world, &is_first);
  cache.ReadUntil("w\r\n");
  cache.Reset();  // the order may have run
  TcpPeer again = (is_first ? world.cache_a : world.cache_b).Accept();
  Sleep(700);  // longer than the window
  EXPECT_EQ(again.ReadFor(500).find(body), std::string::npos);
}

// Guards against an order that runs twice across the tries of its client: its answers are lost, the client
// tries again within the window, and that try is repeated after the window of the first one.
TEST(RepeatSafetyTest, RepeatsNoOrderAfterTheWindowOfAnEarlierTry) {
  World world(0, true, "1024", "192", WithReplaced(kSettings, "\"windowMs\":6000.0", "\"windowMs\":1000.0"));
  TcpPeer client = world.Client();
  client.Send(EncodeOrder("1", kRequestId, 600));
  bool is_first = false;
  TcpPeer cache = AcceptAtChosenCache(world, &is_first);
  cache.ReadUntil("paid\r\n");
  ASSERT_EQ(ReadResponse(client)[1], "later");
  client.Send(EncodeOrder("2", kOtherRequestId, 2'300));
  cache.ReadUntil("paid\r\n");
  Sleep(600);  // longer than what is left of the window
  cache.Reset();
  ExpectNoConnection(world);
}

// Guards against the same where the first try was another instance's: how long ago it was sent at most
// follows from what is left of the time that the class gives to all tries together.
TEST(RepeatSafetyTest, RepeatsNoOrderThatAnEarlierTryElsewhereMayHaveOutlived) {
  World world(0, true, "1024", "192", WithReplaced(kSettings, "\"windowMs\":6000.0", "\"windowMs\":1000.0"));
  TcpPeer client = world.Client();
  client.Send(EncodeOrder("1", kRequestId, 2'300));  // of 3,000: the first try began up to 700 ms ago
  bool is_first = false;
  TcpPeer cache = AcceptAtChosenCache(world, &is_first);
  cache.ReadUntil("paid\r\n");
  Sleep(500);
  cache.Reset();
  ExpectNoConnection(world);
}

}  // namespace
