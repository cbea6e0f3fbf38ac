// Race conditions: a request, a response or a signal that arrives at the same time as another event. The
// tests force the race: they stop the program (SIGSTOP) while they put both into its sockets, so that it
// finds both at once.
#include <fcntl.h>
#include <netinet/tcp.h>

#include <cstdio>
#include <thread>

#include "full_backlog.hpp"
#include "platform_world.hpp"

namespace {

// A request id made from a number.
std::string RequestIdText(int number) {
  char text[17];
  std::snprintf(text, sizeof text, "9b1f03aa5c%06x", static_cast<unsigned>(number));
  return text;
}
// A request of the class "orders", with an idempotency key derived from its id.
std::string EncodeOrder(const std::string& tag, const std::string& ref, const std::string& body) {
  return EncodeCommand({"RPC.CALL", tag, "orders",
                        "ref=" + ref + ",allow=3000,replay=5c0f6e1a2b3d4c59a8b7c6d5" + ref.substr(8) +
                            ",lookup=7f3a9c21e0b4d655,block=0,family=17",
                        body});
}
// Sends a health probe and waits for its response: everything sent before it has been read by then.
void ProbeHealth(TcpPeer& client, const std::string& tag) {
  client.Send(EncodeCommand({"RPC.HEALTH", tag, ""}));
  CHECK_OR_THROW(ReadResponse(client)[0] == tag);
}

// A World whose instance has an admin listener, through which a test sees what the instance has processed.
struct AdminWorld : World {
  explicit AdminWorld(rlim_t descriptors = 0, const std::string& sockets = "1024")
      : World(descriptors, true, sockets, "192", kSettings, {{"PROXY_OPS", "127.0.0.1:0"}}) {
    const std::string line = program->ReadLogThrough("operators' door at ");
    admin_port = std::stoi(line.substr(line.rfind(':') + 1));
  }
  // Waits until the metric proxy_NAME has that value.
  void WaitForMetric(const std::string& name, std::size_t value) {
    const std::string line = "proxy_" + name + " " + std::to_string(value) + "\n";
    const auto limit = UnixMs() + kWaitLimitMs;
    for (std::string metrics; metrics.find(line) == std::string::npos;) {
      CHECK_OR_THROW(UnixMs() < limit);
      TcpPeer operators = TcpPeer::Connect(admin_port);
      operators.Send("stats\n");
      metrics = operators.ReadUntil("end\n");
    }
  }
  // Writes the configuration file and sends SIGHUP.
  void Reload(const std::string& text) {
    std::ofstream(file->path) << text;
    program->Signal(SIGHUP);
  }
  int admin_port = 0;
};

// A client sends more requests than one read buffer holds and then resets the connection, before the instance
// has read any of it: none of the requests is forwarded.
TEST(CrossingsTest, SendsNothingForAClientThatSentMuchAndLeft) {
  World world;
  TcpPeer client = world.Client();
  ProbeHealth(client, "1");
  {
    const StoppedProgram stopped(*world.program);
    std::string calls;
    for (int i = 0; i < 560; ++i)
      calls += EncodeCall(std::to_string(i + 2), "", 2500, "7f3a9c21e0b4d655", RequestIdText(i));
    ASSERT_GT(client.SendUntilBlocked(calls, calls.size()), 65'536);  // more than a buffer
    client.Reset();
  }
  TcpPeer other = world.Client();
  ProbeHealth(other, "1");
  ProbeHealth(other, "2");
  ASSERT_TRUE(world.cache_a.HasNoConnectionFor(200));
  ASSERT_TRUE(world.cache_b.HasNoConnectionFor(1));
  ASSERT_TRUE(world.origin.HasNoConnectionFor(1));
}

// Requests and then their cancels arrive together, more than one event loop iteration handles: none is
// forwarded.
TEST(CrossingsTest, SendsNothingForARequestCancelledLaterInTheInput) {
  World world;
  TcpPeer client = world.Client();
  ProbeHealth(client, "1");
  {
    const StoppedProgram stopped(*world.program);
    std::string text;
    for (int i = 0; i < 40; ++i)
      text += EncodeCall(std::to_string(i + 2), "", 2500, "7f3a9c21e0b4d655", RequestIdText(i));
    for (int i = 0; i < 40; ++i) text += EncodeCommand({"RPC.CANCEL", std::to_string(i + 2)});
    client.Send(text);
  }
  ProbeHealth(client, "100");
  ASSERT_TRUE(world.cache_a.HasNoConnectionFor(200));
  ASSERT_TRUE(world.cache_b.HasNoConnectionFor(1));
  client.Send(EncodeCall("101"));  // the client is served as before
  TcpPeer cache = AcceptAtChosenCache(world);
  cache.ReadUntil("\r\n\r\n");
  cache.Send(OkResponse("abc"));
  ASSERT_EQ(ReadResponse(client)[3], "abc");
}

// Request bodies exceed the instance's memory limit, so that it stops reading new requests. It must still
// notice a client that disconnects or cancels (`leave`), and stop that client's attempt at once.
void ExpectStopWhileReadingIsPaused(const std::function<void(TcpPeer&)>& leave) {
  World world(0, true, "1024", "2");
  TcpPeer client = world.Client();
  client.Send(EncodeCall("1"));
  TcpPeer cache = AcceptAtChosenCache(world);
  CHECK_OR_THROW(cache.ReadUntil("\r\n\r\n").starts_with(std::string("REQ ") + kRequestId));
  TcpPeer writer = world.Client();
  const std::string body(48'000, 'w');
  for (int i = 0; i < 16; ++i) writer.Send(EncodeOrder(std::to_string(i + 1), RequestIdText(i), body));
  TcpPeer late = world.Client();
  for (int tag = 1;; ++tag) {  // until the instance stops reading
    late.Send(EncodeCommand({"RPC.HEALTH", std::to_string(tag), ""}));
    if (late.IsSilentFor(200)) break;
    CHECK_OR_THROW(ReadResponse(late)[0] == std::to_string(tag) && tag < 1000);
  }
  const auto left_at = UnixMs();
  leave(client);
  // Further orders may be written to the same connection; the STOP comes between them.
  cache.ReadUntil(std::string("STOP ") + kRequestId + "\r\n");
  CHECK_OR_THROW(UnixMs() - left_at < 1'000);  // not at the deadline
}

// The connection table is full of idle clients. A new client connects while the client that has been idle
// longest sends a request: that client must not be evicted.
TEST(CrossingsTest, EvictsNoClientThatHasJustAsked) {
  World world(0, true, "64");
  std::vector<TcpPeer> idle;
  for (int i = 0; i < 27; ++i) {  // as many as 64 descriptors allow
    idle.push_back(world.Client());
    ProbeHealth(idle.back(), "1");
  }
  TcpPeer newcomer;
  {
    const StoppedProgram stopped(*world.program);
    newcomer = world.Client();
    newcomer.Send(EncodeCommand({"RPC.HEALTH", "1", ""}));
    idle[0].Send(EncodeCall("2"));
  }
  TcpPeer cache = AcceptAtChosenCache(world);
  cache.ReadUntil("\r\n\r\n");
  cache.Send(OkResponse("abc"));
  ASSERT_EQ(ReadResponse(idle[0]), (std::vector<std::string>{"2", "done", "", "abc"}));
  // The new client got the slot of the client that was idle next longest.
  ASSERT_EQ(ReadResponse(newcomer)[1], "healthy");
  ASSERT_TRUE(idle[1].ReadToEnd().empty());
}

// Malformed input arrives while responses still wait in the instance's buffer because the client's socket is
// full: they are delivered completely before the connection ends.
TEST(CrossingsTest, DeliversResponsesBeforeEndOfStream) {
  AdminWorld world;
  TcpPeer client = world.Client();
  const std::string body(240'000, 'b');
  std::vector<TcpPeer> caches;
  std::string calls;
  for (int i = 0; i < 30; ++i)
    calls += EncodeCall(std::to_string(i + 1), "", 2500, "7f3a9c21e0b4d655", RequestIdText(i));
  client.Send(calls);
  std::size_t served = 0;
  std::string expected;
  while (served < 12) {  // of the admitted requests, four per connection
    TcpPeer cache = AcceptAtChosenCache(world);
    for (int i = 0; i < 4 && served < 12; ++i) {
      const std::string line = cache.ReadUntil("\r\n\r\n");
      cache.Send(OkResponse(body, "", line.substr(4, 16)));
      ++served;
    }
    caches.push_back(std::move(cache));
  }
  world.WaitForMetric("completed_total", served);
  client.Send("garbage\r\n");
  const std::string received = client.ReadToEnd();
  std::size_t done = 0;
  for (std::size_t at = 0; (at = received.find("$4\r\ndone\r\n", at)) != std::string::npos; ++at) ++done;
  ASSERT_GE(done, served);
  ASSERT_TRUE(received.ends_with("\r\n"));
  ASSERT_GT(received.size(), served * body.size());
}

// A connection with a request arrives in the backlog just before the instance stops accepting during a
// shutdown: it is accepted and the request is answered.
TEST(CrossingsTest, AcceptsTheBacklogBeforeShutdown) {
  World world;
  world.program->Signal(SIGTERM);
  world.program->ReadLogThrough("stopping");
  TcpPeer client;
  {
    const StoppedProgram stopped(*world.program);
    client = world.Client();
    client.Send(EncodeCall("1"));
    std::this_thread::sleep_for(std::chrono::milliseconds(900));  // past the end of accepting
  }
  TcpPeer cache = AcceptAtChosenCache(world);
  cache.ReadUntil("\r\n\r\n");
  cache.Send(OkResponse("abc"));
  ASSERT_EQ(ReadResponse(client), (std::vector<std::string>{"1", "done", "", "abc"}));
  ASSERT_TRUE(client.ReadToEnd().empty());
  client.Close();
  ASSERT_EQ(world.program->Wait(), 0);
}

// During a shutdown, a part of a request arrives just when the instance stops accepting, and the rest later:
// the request is answered.
TEST(CrossingsTest, ReceivesAFragmentedRequestDuringShutdown) {
  World world;
  TcpPeer client = world.Client(), other = world.Client();
  ProbeHealth(client, "1");
  ProbeHealth(other, "1");
  const std::string call = EncodeCall("2");
  client.Send(call.substr(0, 20));
  world.program->Signal(SIGTERM);
  world.program->ReadLogThrough("stopping");
  {
    const StoppedProgram stopped(*world.program);
    std::this_thread::sleep_for(std::chrono::milliseconds(800));  // past the end of accepting
    client.Send(call.substr(20, 20));
    other.Send(EncodeCommand({"RPC.HEALTH", "2", ""}));
  }
  ASSERT_EQ(ReadResponse(other)[1], "closing");  // the event loop iteration that ends accepting has run
  client.Send(call.substr(40));
  TcpPeer cache = AcceptAtChosenCache(world);
  cache.ReadUntil("\r\n\r\n");
  cache.Send(OkResponse("abc"));
  ASSERT_EQ(ReadResponse(client), (std::vector<std::string>{"2", "done", "", "abc"}));
  client.Close();
  ASSERT_EQ(world.program->Wait(), 0);
}

// On shutdown the connection of an idle client is ended with FIN, not RST, and a request that it writes after
// that is not forwarded.
TEST(CrossingsTest, HalfClosesBeforeItCloses) {
  World world;
  TcpPeer client = world.Client();
  ProbeHealth(client, "1");
  world.program->Signal(SIGTERM);
  ASSERT_TRUE(client.ReadToEnd().empty());  // FIN, not RST
  client.Send(EncodeCall("2"));             // crosses the FIN: the client retries it elsewhere
  ASSERT_TRUE(world.cache_a.HasNoConnectionFor(100));
  ASSERT_TRUE(world.cache_b.HasNoConnectionFor(1));
  client.Close();
  ASSERT_EQ(world.program->Wait(), 0);
  ASSERT_TRUE(world.cache_a.HasNoConnectionFor(1));
  ASSERT_TRUE(world.cache_b.HasNoConnectionFor(1));
}

// SIGHUP and SIGTERM in one event loop iteration, in both orders: the configuration is reloaded and the
// program shuts down gracefully.
TEST(CrossingsTest, HandlesBothSignalsOfOneRound) {
  for (const bool reload_first : {true, false}) {
    World world;
    TcpPeer client = world.Client();
    client.Send(EncodeCall("1"));
    TcpPeer cache = AcceptAtChosenCache(world);
    cache.ReadUntil("\r\n\r\n");
    {
      const StoppedProgram stopped(*world.program);
      world.program->Signal(reload_first ? SIGHUP : SIGTERM);
      world.program->Signal(reload_first ? SIGTERM : SIGHUP);
    }
    world.program->ReadLogThrough("configuration read anew");
    cache.Send(OkResponse("abc"));
    ASSERT_EQ(ReadResponse(client), (std::vector<std::string>{"1", "done", "", "abc"}));
    client.Close();
    ASSERT_EQ(world.program->Wait(), 0);
  }
}

// A complete endpoint list without some of the known servers removes them, like an event that names them
// removed.
TEST(CrossingsTest, RemovesEndpointsMissingFromACompleteList) {
  AdminWorld world;
  world.WaitForMetric("members", 4);
  world.watch.Send(FleetEventJson(2, true,
                                  EndpointJson("s-b", world.cache_b.Address()) + "," +
                                      EndpointJson("o-1", world.origin.Address(), "store")) +
                   "\n2\n");
  world.WaitForMetric("members", 2);
  TcpPeer client = world.Client();
  client.Send(EncodeCall("1"));
  TcpPeer cache = world.cache_b.Accept();
  // The parent cache is removed as well.
  ASSERT_NE(cache.ReadUntil("\r\n\r\n").find(",miss=o-1"), std::string::npos);
  cache.Send(OkResponse("abc"));
  ASSERT_EQ(ReadResponse(client)[3], "abc");
}

// An event with an invalid entry is rejected as a whole: its valid entries before that one are not applied.
TEST(CrossingsTest, AppliesNothingOfABrokenEvent) {
  AdminWorld world;
  TcpListener unlisted_server;
  const std::string valid_entries = EndpointJson("s-a", unlisted_server.Address()) + "," +
                                    EndpointJson("s-b", unlisted_server.Address()) + "," +
                                    EndpointJson("s-n", unlisted_server.Address());
  std::string malformed_event = FleetEventJson(
      2, false, valid_entries + "," + EndpointJson("s-z", unlisted_server.Address(), "no such kind"));
  world.watch.Send(malformed_event + "\n");
  world.watch = world.changelog.Accept();
  ASSERT_EQ(world.watch.ReadUntil("\n"), "since 1");
  world.WaitForMetric("members", 4);
  TcpPeer client = world.Client();
  client.Send(EncodeCall("1"));
  TcpPeer cache = AcceptAtChosenCache(world);
  cache.ReadUntil("\r\n\r\n");
  cache.Send(OkResponse("abc"));
  ASSERT_EQ(ReadResponse(client)[3], "abc");
  ASSERT_TRUE(unlisted_server.HasNoConnectionFor(1));
}

// A reload changes the address of the endpoint watch: a drain on the old watch is applied until the new watch
// has sent its first event.
TEST(CrossingsTest, NoticesADrainWhileDiscoveryMoves) {
  AdminWorld world;
  world.watch.Send("1\n");
  TcpPeer client = world.Client();
  ProbeHealth(client, "1");
  TcpListener moved;
  std::string config = world.config;
  config.replace(config.find(world.changelog.Address()), world.changelog.Address().size(), moved.Address());
  world.Reload(config);
  TcpPeer new_watch = moved.Accept();
  ASSERT_EQ(new_watch.ReadUntil("\n"), "since 1");
  world.watch.Send(FleetEventJson(2, false, EndpointJson("s-a", world.cache_a.Address(), "box", "draining")) +
                   "\n2\n");
  world.WaitForMetric("members_unavailable", 1);
  // The new watch sends its events, and the old one is closed.
  new_watch.Send(FleetEventJson(2, false, EndpointJson("s-a", world.cache_a.Address(), "box", "draining")) +
                 "\n2\n");
  ASSERT_TRUE(world.watch.ReadToEnd().empty());
  world.WaitForMetric("members_unavailable", 1);
}

// A reload while the endpoint watch is silent, with its address unchanged: the instance reconnects at once.
TEST(CrossingsTest, ReconnectsASilentWatchOnReload) {
  AdminWorld world;
  world.watch.Send("1\n");
  std::this_thread::sleep_for(std::chrono::milliseconds(1'350));
  world.Reload(world.config);
  world.watch = world.changelog.Accept();
  ASSERT_EQ(world.watch.ReadUntil("\n"), "since 1");
  world.program->ReadLogThrough("configuration read anew");
  world.Reload(world.config);
  world.program->ReadLogThrough("configuration read anew");  // and with it every line logged in between
  ASSERT_EQ(world.program->log.find("silent, connecting anew"), std::string::npos);
}

// Idle clients and admin callers use all descriptors that they can get, and the endpoint watch is
// disconnected: when it is back, a removal is applied, the admin listener answers and requests are served.
TEST(CrossingsTest, RecoversDiscoveryWhenIdleClientsFillTheDescriptors) {
  AdminWorld world(64, "64");
  std::vector<TcpPeer> idle;
  TcpPeer client = world.Client();
  for (int i = 0; i < 80; ++i) {
    idle.push_back(world.Client());
    idle.back().Send(EncodeCommand({"RPC.HEALTH", "1", ""}));
  }
  std::vector<TcpPeer> callers;  // connections to the admin listener are limited as well
  for (int i = 0; i < 30; ++i) callers.push_back(TcpPeer::Connect(world.admin_port));
  world.watch.Close();
  for (int i = 0; i < 3; ++i) world.changelog.Accept().Close();
  world.watch = world.changelog.Accept();
  ASSERT_EQ(world.watch.ReadUntil("\n"), "since 1");
  world.watch.Send(FleetEventJson(2, false, EndpointJson("s-a", world.cache_a.Address(), "box", "removed")) +
                   "\n2\n");
  world.WaitForMetric("members", 3);
  client = world.Client();  // a new client is accepted
  client.Send(EncodeCall("1"));
  TcpPeer cache = world.cache_b.Accept();
  cache.ReadUntil("\r\n\r\n");
  cache.Send(OkResponse("abc"));
  ASSERT_EQ(ReadResponse(client), (std::vector<std::string>{"1", "done", "", "abc"}));
}

// No descriptor is left for a connection to a server: the request is rejected, and it does not count as a
// failure of the server.
TEST(CrossingsTest, BlamesNoEndpointForItsOwnDescriptorLimit) {
  AdminWorld world(48);
  TcpPeer client = world.Client();
  ProbeHealth(client, "1");
  std::vector<TcpPeer> idle;
  for (int i = 0; i < 60; ++i) idle.push_back(world.Client());
  client.Send(EncodeCall("2"));
  ASSERT_EQ(ReadResponse(client)[1], "later");
  ASSERT_TRUE(world.cache_a.HasNoConnectionFor(1));
  ASSERT_TRUE(world.cache_b.HasNoConnectionFor(1));
  world.program->Signal(SIGTERM);
  idle.clear();
  client.Close();
  ASSERT_EQ(world.program->Wait(), 0);
  ASSERT_EQ(world.program->log.find("connection lost"), std::string::npos);
}

// Returns the settings with `from` replaced by `to`.
std::string WithReplaced(std::string settings, const std::string& from, const std::string& to) {
  const std::size_t position = settings.find(from);
  CHECK_OR_THROW(position != std::string::npos);
  return settings.replace(position, from.size(), to);
}

// Guards against a request that reaches the wrong server: it waited for a connection while its server moved,
// and was written to whatever came up at the address that the server had left.
TEST(CrossingsTest, SendsNothingToAnAddressThatTheServerHasLeft) {
  World world(0, false, "1024", "192",
              WithReplaced(kSettings, "\"connectTimeoutMs\":400.0", "\"connectTimeoutMs\":3000.0"));
  FullBacklog backlog(world.cache_a);
  TcpPeer client = world.Client();
  client.Send(EncodeCall("1"));
  ProbeHealth(client, "2");
  world.watch.Send(FleetEventJson(2, false, EndpointJson("s-a", world.cache_b.Address())) + "\n");
  TcpPeer stranger = backlog.AcceptNext();
  EXPECT_EQ(stranger.ReadFor(300), "");
}

// The client disconnects or cancels (`leave`) while its request waits for a connection to the server: nothing
// is written to that connection when it is established.
void ExpectNothingSentAfterLeavingDuringConnect(const std::function<void(TcpPeer&)>& leave) {
  World world(0, false, "1024", "192",
              WithReplaced(kSettings, "\"connectTimeoutMs\":400.0", "\"connectTimeoutMs\":3000.0"));
  FullBacklog backlog(world.cache_a);
  TcpPeer client = world.Client(), other = world.Client();
  client.Send(EncodeCall("1"));
  client.Send(EncodeCommand({"RPC.HEALTH", "2", ""}));
  CHECK_OR_THROW(ReadResponse(client)[0] == "2");
  leave(client);
  ProbeHealth(other, "1");
  TcpPeer cache = backlog.AcceptNext();
  CHECK_OR_THROW(cache.IsSilentFor(300));
}

// A request with an idempotency key whose response broke off may be retried only within the idempotency
// window. Here the window expires while the connection for the retry is being established.
TEST(CrossingsTest, DoesNotRetryAfterTheIdempotencyWindow) {
  World world(
      0, false, "1024", "192",
      WithReplaced(WithReplaced(kSettings, "\"connectTimeoutMs\":400.0", "\"connectTimeoutMs\":3000.0"),
                   "\"windowMs\":6000.0", "\"windowMs\":500.0"));
  TcpPeer client = world.Client();
  client.Send(EncodeOrder("1", kRequestId, "paid"));
  TcpPeer cache = world.cache_a.Accept();
  ASSERT_TRUE(cache.ReadUntil("paid\r\n").starts_with(std::string("REQ ") + kRequestId));
  FullBacklog backlog(world.cache_a);
  cache.Reset();
  std::this_thread::sleep_for(std::chrono::milliseconds(600));  // longer than the window
  TcpPeer again = backlog.AcceptNext();
  ASSERT_NE(ReadResponse(client)[1], "done");
  ASSERT_TRUE(again.IsSilentFor(200));
}

// A server has stopped reading. A STOP that its socket does not accept has no effect, and the rest of the
// request before it must not arrive after the next attempt has begun. The connection must be closed at once.
TEST(CrossingsTest, ClosesAConnectionThatTakesNoStop) {
  World world(0, false);
  const int buffer_size = 4096;
  ASSERT_EQ(::setsockopt(world.cache_a.Descriptor(), SOL_SOCKET, SO_RCVBUF, &buffer_size, sizeof buffer_size),
            0);
  TcpPeer client = world.Client();
  client.Send(EncodeCall("1"));
  TcpPeer cache = world.cache_a.Accept();
  ASSERT_TRUE(cache.ReadUntil("\r\n\r\n").starts_with(std::string("REQ ") + kRequestId));
  const std::string body(48'000, 'w');
  bool ended = false;
  client.Send(EncodeCommand({"RPC.CANCEL", "1"}));
  // Each is cancelled, none is read: more than the socket's buffers hold.
  for (int i = 2; i < 100 && !ended; ++i) {
    client.Send(EncodeOrder(std::to_string(i), RequestIdText(i), body) +
                EncodeCommand({"RPC.HEALTH", std::to_string(1'000 + i), ""}));
    ASSERT_EQ(ReadResponse(client)[0], std::to_string(1'000 + i));
    client.Send(EncodeCommand({"RPC.CANCEL", std::to_string(i)}) +
                EncodeCommand({"RPC.HEALTH", std::to_string(2'000 + i), ""}));
    ASSERT_EQ(ReadResponse(client)[0], std::to_string(2'000 + i));
    pollfd one{cache.Descriptor(), 0, 0};
    ended = ::poll(&one, 1, 0) == 1 && (one.revents & (POLLHUP | POLLERR)) != 0;
  }
  if (!ended) {
    pollfd one{cache.Descriptor(), 0, 0};
    ended = ::poll(&one, 1, 1'000) == 1;  // the close may be under way
  }
  ASSERT_TRUE(ended);
}

// A SAME response confirms only the copy whose entity tag the client named, and no other.
TEST(CrossingsTest, RevalidatesACopyOnlyByItsOwnEntityTag) {
  for (const std::string& held : {std::string(",cached=4be0c1927d55a6f3"), std::string()}) {
    World world;
    TcpPeer client = world.Client();
    client.Send(EncodeCall("1", held));
    bool first = false;
    TcpPeer cache = AcceptAtChosenCache(world, &first);
    cache.ReadUntil("\r\n\r\n");
    cache.Send(std::string(kRequestId) + " SAME entity=0000c1927d55a6f3,issued=" + std::to_string(UnixMs()) +
               " 0\r\n\r\n");
    TcpPeer other = (first ? world.cache_b : world.cache_a).Accept();
    other.ReadUntil("\r\n\r\n");
    other.Send(OkResponse("abc"));
    ASSERT_EQ(ReadResponse(client), (std::vector<std::string>{"1", "done", "", "abc"}));
  }
}

// SIGTERM comes while a request with a long deadline is in flight at a server that hangs: its client gets a
// response before SIGKILL may come, so that it can retry elsewhere.
TEST(CrossingsTest, AnswersBeforeTheKillDeadline) {
  World world(0, false, "1024", "192", WithReplaced(kSettings, "\"giveUpMs\":2500.0", "\"giveUpMs\":9000.0"));
  TcpPeer client = world.Client();
  client.Send(EncodeCall("1", "", 8'500));
  TcpPeer cache = world.cache_a.Accept();
  cache.ReadUntil("\r\n\r\n");
  world.program->Signal(SIGTERM);
  const auto signalled_at = UnixMs();
  const auto answer = ReadResponse(client);
  ASSERT_TRUE(answer[1] == "later" || answer[1] == "error");
  ASSERT_LT(UnixMs() - signalled_at, 3'700);
  client.Close();
  ASSERT_EQ(world.program->Wait(), 0);
}

// Thirty instances are killed and restarted at once: nine in ten serve within 10 s.
TEST(CrossingsTest, ThirtyInstancesRestartAtOnce) {
  constexpr int kInstances = 30;
  World world;
  const auto start = [&] {
    return std::make_unique<Program>(
        std::vector<std::string>{"serve"},
        std::map<std::string, std::string>{
            {"PROXY_NAME", "n0"}, {"PROXY_LISTEN", "127.0.0.1:0"}, {"PROXY_CONFIG", world.file->path}});
  };
  std::vector<std::unique_ptr<Program>> fleet;
  for (int i = 0; i < kInstances; ++i) fleet.push_back(start());
  for (auto& one : fleet) one->Port();
  for (auto& one : fleet) one->Signal(SIGKILL);
  const auto killed_at = UnixMs();
  for (auto& one : fleet) one = start();
  int ready = 0;
  for (auto& one : fleet) {
    TcpPeer client = TcpPeer::Connect(one->Port());
    client.Send(EncodeCommand({"RPC.HEALTH", "1", ""}));
    ready += ReadResponse(client)[1] == "healthy" && UnixMs() - killed_at < 10'000;
  }
  ASSERT_GE(ready, kInstances * 9 / 10);
}

// Settings that differ from the default ones: one attempt, a window of 1 ms, no parent caches, no instance
// counts and others.
TEST(CrossingsTest, ServesUnderOtherCustomersSettings) {
  const std::vector<std::string> variants{
      WithReplaced(kSettings, "\"maxAttempts\":8", "\"maxAttempts\":1"),
      WithReplaced(kSettings, "\"windowMs\":5000.0", "\"windowMs\":1.0"),
      WithReplaced(kSettings, "\"midKind\":1", "\"midKind\":-1"),
      WithReplaced(kSettings, "\"instancesByZone\":[0,1]", "\"instancesByZone\":[]"),
      WithReplaced(kSettings, "\"instancesByZone\":[0,1]", "\"instancesByZone\":[0,0]"),
      WithReplaced(kSettings, "\"instances\":1", "\"instances\":0"),
      WithReplaced(kSettings, "\"cancel\":true", "\"cancel\":false"),
      WithReplaced(kSettings, "\"passThroughOk\":true", "\"passThroughOk\":false"),
      WithReplaced(kSettings, "\"paceKbPerS\":5000.0", "\"paceKbPerS\":0.0"),
      WithReplaced(kSettings, "\"streamsPerConn\":100", "\"streamsPerConn\":1"),
      WithReplaced(kSettings, "\"retryAfter\":true", "\"retryAfter\":false")};
  for (const std::string& settings : variants) {
    World world(0, false, "1024", "192", settings);
    TcpPeer client = world.Client();
    client.Send(EncodeCall("1"));
    TcpPeer cache = world.cache_a.Accept();
    cache.ReadUntil("\r\n\r\n");
    cache.Send(OkResponse("abc"));
    ASSERT_EQ(ReadResponse(client), (std::vector<std::string>{"1", "done", "", "abc"}));
  }
}

TEST(CrossingsTest, NoticesAClientThatClosesWhilePaused) {
  ExpectStopWhileReadingIsPaused([](TcpPeer& client) { client.Close(); });
}

TEST(CrossingsTest, NoticesAClientThatHalfClosesWhilePaused) {
  ExpectStopWhileReadingIsPaused(
      [](TcpPeer& client) { CHECK_OR_THROW(::shutdown(client.Descriptor(), SHUT_WR) == 0); });
}

TEST(CrossingsTest, NoticesACancelWhilePaused) {
  ExpectStopWhileReadingIsPaused([](TcpPeer& client) { client.Send(EncodeCommand({"RPC.CANCEL", "1"})); });
}

TEST(CrossingsTest, SendsNothingForAClientThatClosedDuringConnect) {
  ExpectNothingSentAfterLeavingDuringConnect([](TcpPeer& client) { client.Close(); });
}

TEST(CrossingsTest, SendsNothingForAClientThatHalfClosedDuringConnect) {
  ExpectNothingSentAfterLeavingDuringConnect(
      [](TcpPeer& client) { CHECK_OR_THROW(::shutdown(client.Descriptor(), SHUT_WR) == 0); });
}

TEST(CrossingsTest, SendsNothingForARequestCancelledDuringConnect) {
  ExpectNothingSentAfterLeavingDuringConnect([](TcpPeer& client) {
    client.Send(EncodeCommand({"RPC.CANCEL", "1"}));
  });
}

}  // namespace
