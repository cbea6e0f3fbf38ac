// The platform front: the real program, with clients, caches, the origin and the endpoint watch played by the
// test.
#include <sys/epoll.h>

#include <sstream>
#include <thread>

#include "platform_world.hpp"

namespace {

TEST(PlatformTest, ServesHealthProbesAndCalls) {
  World world;
  TcpPeer client = world.Client();
  client.Send(EncodeCommand({"RPC.HEALTH", "1", ""}));
  ASSERT_EQ(ReadResponse(client), (std::vector<std::string>{"1", "healthy", "", ""}));
  client.Send(EncodeCall("2", ",cached=4be0c1927d55a6f3"));
  TcpPeer cache = AcceptAtChosenCache(world);
  const std::string line = cache.ReadUntil("\r\n");
  ASSERT_TRUE(line.starts_with(std::string("REQ ") + kRequestId +
                               " queue=pages,path=7f3a9c21e0b4d655,blk=3,budget="));
  // Nearly all of the client's timeout is left to the server: some timeouts are hardly longer than the
  // transfer.
  ASSERT_GE(std::stoi(line.substr(line.find("budget=") + 7)), 2'485);
  ASSERT_NE(line.find(",miss=p-1"), std::string::npos);
  ASSERT_NE(line.find(",prio=1"), std::string::npos);
  ASSERT_NE(line.find(",f=share+swr"), std::string::npos);
  ASSERT_TRUE(line.ends_with(",mine=4be0c1927d55a6f3 0"));
  ASSERT_TRUE(cache.ReadUntil("\r\n").empty());
  // Every byte value, and more than a socket accepts at once; the cache sends the response in pieces.
  std::string body;
  for (int i = 0; i < 240'000; ++i) body += static_cast<char>(i * 7 + i / 256);
  const std::string answer = OkResponse(body, ",detail=pulled,use=inflight:7;util:0.61;x1:0.2");
  for (std::size_t at = 0; at < answer.size(); at += 50'000) cache.Send(answer.substr(at, 50'000));
  ASSERT_EQ(ReadResponse(client), (std::vector<std::string>{"2", "done", "", body}));
  // The client's copy is current: the response says so and has no body.
  client.Send(EncodeCall("3", ",cached=4be0c1927d55a6f3"));
  cache.ReadUntil("\r\n\r\n");
  cache.Send(std::string(kRequestId) + " SAME entity=4be0c1927d55a6f3,issued=" + std::to_string(UnixMs()) +
             " 0\r\n\r\n");
  ASSERT_EQ(ReadResponse(client), (std::vector<std::string>{"3", "done", "keep=1", ""}));
}

TEST(PlatformTest, ForwardsAWriteUnchanged) {
  World world;
  TcpPeer client = world.Client();
  const std::string body(48'000, '\xfe');
  client.Send(EncodeCommand(
      {"RPC.CALL", "5", "orders",
       std::string("ref=") + kRequestId +
           ",allow=3000,replay=5c0f6e1a2b3d4c59a8b7c6d5e4f30211,lookup=7f3a9c21e0b4d655,block=0,family=17",
       body}));
  TcpPeer cache = AcceptAtChosenCache(world);
  const std::string line = cache.ReadUntil("\r\n");
  ASSERT_NE(line.find(",uniq=5c0f6e1a2b3d4c59a8b7c6d5e4f30211"), std::string::npos);
  ASSERT_NE(line.find(",miss=o-1"), std::string::npos);
  ASSERT_TRUE(line.ends_with(" 48000"));
  ASSERT_EQ(cache.ReadExactly(48'002), body + "\r\n");
  cache.Send(OkResponse("sold"));
  ASSERT_EQ(ReadResponse(client)[3], "sold");
}

// After `fail` has ended the first attempt, a further attempt must be made and its response reach the client.
// With `may_use_same_cache` either cache may get that attempt, otherwise it must be the other one.
void ExpectRetryAfter(const std::function<void(TcpPeer&)>& fail, bool may_use_same_cache = false) {
  World world;
  TcpPeer client = world.Client();
  client.Send(EncodeCall("1"));
  bool first = false;
  TcpPeer cache = AcceptAtChosenCache(world, &first);
  cache.ReadUntil("\r\n\r\n");
  fail(cache);
  // A cache whose response broke off has the copy by now and may be tried again; after the other failures the
  // same cache is not tried again.
  TcpPeer next =
      may_use_same_cache ? AcceptAtChosenCache(world) : (first ? world.cache_b : world.cache_a).Accept();
  CHECK_OR_THROW(next.ReadUntil("\r\n\r\n").starts_with(std::string("REQ ") + kRequestId));
  next.Send(OkResponse("abc"));
  CHECK_OR_THROW((ReadResponse(client) == std::vector<std::string>{"1", "done", "", "abc"}));
}

// The server never responds: the client gets exactly one final response before its timeout, and the server
// gets STOP.
TEST(PlatformTest, AnswersOnceBeforeTheDeadline) {
  World world;
  TcpPeer client = world.Client();
  const auto start = UnixMs();
  client.Send(EncodeCall("1", "", 700));
  TcpPeer cache = AcceptAtChosenCache(world);
  cache.ReadUntil("\r\n\r\n");
  const auto answer = ReadResponse(client);
  ASSERT_LT(UnixMs() - start, 750);
  ASSERT_TRUE(answer[1] == "later" || answer[1] == "error");
  ASSERT_EQ(cache.ReadUntil("\r\n"), std::string("STOP ") + kRequestId);
  cache.Send(OkResponse("too late"));
  client.Send(EncodeCommand({"RPC.HEALTH", "2", ""}));
  ASSERT_EQ(ReadResponse(client)[0], "2");  // the late response was not forwarded
}

TEST(PlatformTest, StopsAttemptsOfCancelledAndClosedClients) {
  World world;
  TcpPeer client = world.Client();
  client.Send(EncodeCall("1"));
  TcpPeer cache = AcceptAtChosenCache(world);
  cache.ReadUntil("\r\n\r\n");
  client.Send(EncodeCommand({"RPC.CANCEL", "1"}));
  ASSERT_EQ(cache.ReadUntil("\r\n"), std::string("STOP ") + kRequestId);
  cache.Send(OkResponse("nobody's"));
  client.Send(EncodeCommand({"RPC.HEALTH", "2", ""}));
  ASSERT_EQ(ReadResponse(client)[0], "2");
  client.Send(EncodeCall("3"));
  TcpPeer fresh = AcceptAtChosenCache(world);  // the cancelled request id is sent on another connection
  fresh.ReadUntil("\r\n\r\n");
  client.Close();  // closing the connection cancels as well
  ASSERT_EQ(fresh.ReadUntil("\r\n"), std::string("STOP ") + kRequestId);
}

// A removed server must get no queued request and must not be named as a source, and a new server at the
// address of a removed one must not be taken for it.
TEST(PlatformTest, FollowsTheEndpointWatch) {
  World world;
  TcpPeer client = world.Client();
  world.watch.Send(FleetEventJson(2, false,
                                  EndpointJson("s-a", world.cache_a.Address(), "box", "removed") + "," +
                                      EndpointJson("s-c", world.cache_a.Address())) +
                   "\n" +
                   FleetEventJson(3, false,
                                  EndpointJson("s-b", world.cache_b.Address(), "box", "draining") + "," +
                                      EndpointJson("p-1", world.parent.Address(), "up", "draining")) +
                   "\n3\n");
  world.watch.Close();
  world.watch = world.changelog.Accept();
  ASSERT_EQ(world.watch.ReadUntil("\n"), "since 3");  // all events have been applied
  client.Send(EncodeCall("1"));
  TcpPeer cache = world.cache_a.Accept();
  ASSERT_NE(cache.ReadUntil("\r\n\r\n").find(",miss=o-1"), std::string::npos);  // no parent cache is left
  cache.Send(OkResponse("abc"));
  ASSERT_EQ(ReadResponse(client)[3], "abc");
  // It reconnects after a sequence number that is ahead of the events, and after silence.
  world.watch.Send("9\n");
  world.watch = world.changelog.Accept();
  ASSERT_EQ(world.watch.ReadUntil("\n"), "since 3");
  ASSERT_TRUE(world.watch.IsSilentFor(100));
  world.watch = world.changelog.Accept();
  ASSERT_EQ(world.watch.ReadUntil("\n"), "since 3");
}

// A reload changes the address of the endpoint watch: later events come from the new address. State and
// requests in flight stay, and a configuration file that is invalid changes nothing.
TEST(PlatformTest, FollowsAReloadedConfiguration) {
  World world;
  TcpPeer client = world.Client();
  client.Send(EncodeCall("1"));
  TcpPeer cache = AcceptAtChosenCache(world);
  cache.ReadUntil("\r\n\r\n");
  const auto reload = [&](const std::string& text) {
    std::ofstream(world.file->path) << text;
    world.program->Signal(SIGHUP);
  };
  reload("{\"seed\": half a fi");
  ASSERT_NE(world.program->ReadLogThrough("old one holds").find("JSON"), std::string::npos);
  TcpListener new_changelog;
  std::string config = world.config;
  config.replace(config.find(world.changelog.Address()), world.changelog.Address().size(),
                 new_changelog.Address());
  world.watch.Send(FleetEventJson(2, false, EndpointJson("s-x", world.cache_a.Address())) + "\n");
  world.watch.Close();
  world.watch = world.changelog.Accept();
  ASSERT_EQ(world.watch.ReadUntil("\n"), "since 2");  // the old watch is still followed
  reload(config);
  TcpPeer watch = new_changelog.Accept();
  ASSERT_EQ(watch.ReadUntil("\n"), "since 2");
  ASSERT_TRUE(world.watch.ReadToEnd().empty());
  cache.Send(OkResponse("abc"));
  ASSERT_EQ(ReadResponse(client), (std::vector<std::string>{"1", "done", "", "abc"}));
}

// The endpoint watch sends an incomplete event and stalls, sends events twice, or sends an invalid event:
// none of these may block later events.
TEST(PlatformTest, RecoversFromMalformedEndpointEvents) {
  World world;
  const std::string malformed = R"({"seq":2,"fleet":{"servers":[{"id":"s-q","kind":"unheard of"}]}})";
  const std::string gone =
      FleetEventJson(3, false, EndpointJson("s-a", world.cache_a.Address(), "box", "removed"));
  world.watch.Send(malformed + "\n" + gone + "\n");
  world.watch = world.changelog.Accept();
  // The event may have been corrupted in transit: it is requested once more.
  ASSERT_EQ(world.watch.ReadUntil("\n"), "since 1");
  world.watch.Send(malformed + "\n" + gone + "\n");
  world.watch = world.changelog.Accept();
  ASSERT_EQ(world.watch.ReadUntil("\n"), "since 2");
  const std::string event =
      FleetEventJson(4, false, EndpointJson("p-1", world.parent.Address(), "up", "removed"));
  world.watch.Send(gone + "\n" + gone + "\n");
  const auto start = UnixMs();
  for (const char one : event.substr(0, 15)) {  // bytes arrive, but no complete line
    world.watch.Send(std::string(1, one));
    ::usleep(100'000);
  }
  TcpPeer watch = world.changelog.Accept();
  ASSERT_EQ(watch.ReadUntil("\n"), "since 3");
  ASSERT_LT(UnixMs() - start, 3'000);
  watch.Send(event + "\n");
  watch.Close();
  ASSERT_EQ(world.changelog.Accept().ReadUntil("\n"), "since 4");
  TcpPeer client = world.Client();
  client.Send(EncodeCall("1"));
  ASSERT_NE(world.cache_b.Accept().ReadUntil("\r\n\r\n").find(",miss=o-1"), std::string::npos);
}

// Once the grace period of a purge is over, no copy older than the purge is delivered, whatever the cache
// sends.
TEST(PlatformTest, AppliesPurgesToCachedResponses) {
  World world;
  const auto purged = UnixMs();
  world.watch.Send(R"({"seq":2,"invalidate":{"object":"7f3a9c21e0b4d655","time":)" + std::to_string(purged) +
                   "}}\n" + R"({"seq":3,"invalidate":{"bucket":200,"time":)" + std::to_string(purged) +
                   "}}\n");
  world.watch.Close();
  world.watch = world.changelog.Accept();
  ASSERT_EQ(world.watch.ReadUntil("\n"), "since 3");
  while (UnixMs() < purged + 1'300) ::usleep(10'000);
  TcpPeer client = world.Client();
  client.Send(EncodeCall("1"));
  bool first = false;
  TcpPeer cache = AcceptAtChosenCache(world, &first);
  const std::string line = cache.ReadUntil("\r\n\r\n");
  const std::size_t at = line.find(",within=");
  ASSERT_NE(at, std::string::npos);
  ASSERT_LE(std::stol(line.substr(at + 8)), UnixMs() - purged);
  ASSERT_EQ(line.find("share"), std::string::npos);  // a fill in progress may have begun before the purge
  cache.Send(std::string(kRequestId) + " OK entity=e0,issued=" + std::to_string(purged - 5) +
             " 3\r\nold\r\n");
  TcpPeer next = (first ? world.cache_b : world.cache_a).Accept();
  next.ReadUntil("\r\n\r\n");
  next.Send(OkResponse("new"));
  ASSERT_EQ(ReadResponse(client)[3], "new");
}

TEST(PlatformTest, ClosesConnectionsOnMalformedInput) {
  World world;
  for (const std::string& malformed :
       {std::string("GET / HTTP/1.1\r\n\r\n"), std::string("*1\r\n$99999999\r\n"), std::string("*0\r\n"),
        std::string("*-3\r\n"), std::string("*2\r\n$8\r\nRPC.CALL\r\n$70000\r\n")}) {
    TcpPeer client = world.Client();
    client.Send(malformed);
    ASSERT_TRUE(client.ReadToEnd().empty());
  }
  TcpPeer client = world.Client();
  client.Send(EncodeCall("1"));
  TcpPeer cache = AcceptAtChosenCache(world);
  cache.ReadUntil("\r\n\r\n");
  cache.Send("no answer\r\n");  // malformed input from a server
  ASSERT_EQ(cache.ReadToEnd(), std::string("STOP ") + kRequestId + "\r\n");
}

// An invalid message must not fail other requests on its connection, two requests must not share an id, and a
// flood of requests must not delay other clients.
TEST(PlatformTest, RejectsOnlyTheUnusableRequest) {
  World world;
  TcpPeer client = world.Client();
  client.Send(EncodeCall("1"));
  TcpPeer cache = AcceptAtChosenCache(world);
  cache.ReadUntil("\r\n\r\n");
  const std::string start = std::string("ref=") + kOtherRequestId + ",allow=";
  const std::vector<std::vector<std::string>> malformed{
      {"RPC.CALL", "2", "nonsense", start + "500", ""},
      {"RPC.CALL", "2", "pages", start + "500,lookup=zz", ""},
      {"RPC.CALL", "2", "pages", start + "500,replay=a b", ""},
      {"RPC.CALL", "2", "pages", start + "500,room=inf", ""},
      {"RPC.CALL", "2", "pages", start + "500,room=1e300", ""},
      {"RPC.CALL", "2", "pages", start + "nan", ""},
      {"RPC.CALL", "2", "pages", start + "-1", ""},
      {"RPC.CALL", "2", "pages", start + "500,family=256", ""},
      {"RPC.CALL", "2", "pages", "allow=500", ""},
      {"RPC.CALL", "2", "pages", std::string("ref=") + kRequestId + ",allow=500,lookup=00003a9c21e0b4d6", ""},
      {"RPC.SING", "2"}};
  for (const auto& words : malformed) {
    client.Send(EncodeCommand(words));
    ASSERT_EQ(ReadResponse(client), (std::vector<std::string>{"2", "error", "", ""}));
  }
  client.Send(EncodeCommand({"RPC.CALL", "x", "pages", start + "500", ""}));
  ASSERT_EQ(ReadResponse(client)[1], "error");
  // A flood on another connection: at most 32 requests are in flight, the others are rejected at once, with
  // any status but "done".
  TcpPeer flood = world.Client();
  std::string many;
  for (int i = 100; i < 400; ++i) {
    many += EncodeCall(std::to_string(i), "", 2500, "7f3a9c21e0b4d655", "9b1f03aa5c7e2" + std::to_string(i));
  }
  flood.Send(many);
  for (int i = 0; i < 268; ++i) {
    ASSERT_NE(ReadResponse(flood)[1], "done");
  }
  cache.Send(OkResponse("abc"));
  ASSERT_EQ(ReadResponse(client), (std::vector<std::string>{"1", "done", "", "abc"}));
  // Two requests with the same tag: one response, which is an error.
  client.Send(EncodeCall("5", "", 2500, "7f3a9c21e0b4d655", kOtherRequestId));
  client.Send(EncodeCall("5", "", 2500, "7f3a9c21e0b4d655", "9b1f03aa5c7e2d43"));
  ASSERT_EQ(ReadResponse(client), (std::vector<std::string>{"5", "error", "", ""}));
  client.Send(EncodeCommand({"RPC.HEALTH", "6", ""}));
  ASSERT_EQ(ReadResponse(client)[0], "6");
}

// Connections that send nothing, send half a request or stay open after one request are closed, and never
// prevent other clients from being served.
TEST(PlatformTest, ClosesIdleClients) {
  World world(0, true, "64");
  TcpPeer client = world.Client();
  client.Send(EncodeCall("1"));
  TcpPeer cache = AcceptAtChosenCache(world);
  cache.ReadUntil("\r\n\r\n");
  const auto start = UnixMs();
  TcpPeer silent_client = world.Client(), half = world.Client(), withdrawn = world.Client();
  half.Send("*5\r\n$8\r\nRPC.CALL\r\n$1\r\n");
  withdrawn.Send(EncodeCall("1", "", 2500, "7f3a9c21e0b4d655", kOtherRequestId) +
                 EncodeCommand({"RPC.CANCEL", "1"}));
  std::vector<TcpPeer> idle_clients;
  for (int i = 0; i < 100; ++i) {  // more than the instance has room for
    idle_clients.push_back(world.Client());
    idle_clients.back().Send(EncodeCommand({"RPC.HEALTH", "1", ""}));
    ASSERT_EQ(ReadResponse(idle_clients.back())[1], "healthy");
  }
  ASSERT_TRUE(idle_clients.front().ReadToEnd().empty());
  cache.Send(OkResponse("abc"));  // a connection with a request in flight stays open throughout
  ASSERT_EQ(ReadResponse(client)[3], "abc");
  for (TcpPeer* const one : {&silent_client, &half, &withdrawn}) {
    ASSERT_TRUE(one->ReadToEnd().empty());
  }
  ASSERT_LT(UnixMs() - start, 3'000);
}

// A server stops in the middle of a response: the requests that wait on that connection are retried
// elsewhere.
TEST(PlatformTest, RetriesElsewhereAfterAStalledResponse) {
  World world;
  TcpPeer client = world.Client();
  const auto start = UnixMs();
  client.Send(EncodeCall("1", "", 10'000));
  TcpPeer cache = AcceptAtChosenCache(world);
  cache.ReadUntil("\r\n\r\n");
  cache.Send(std::string(kRequestId) + " OK entity=e,issued=1 100\r\nhalf");
  ASSERT_EQ(cache.ReadToEnd(), std::string("STOP ") + kRequestId + "\r\n");
  TcpPeer next = AcceptAtChosenCache(world);
  next.ReadUntil("\r\n\r\n");
  next.Send(OkResponse("whole"));
  ASSERT_EQ(ReadResponse(client)[3], "whole");
  ASSERT_LT(UnixMs() - start, 1'500);
}

// Nothing arrives on one connection any more while its server responds on another: the silent connection gets
// no new request, and the requests that wait on it are retried in time.
TEST(PlatformTest, SendsNothingNewOnASilentConnection) {
  World world(0, false);
  TcpPeer client = world.Client();
  const auto ask = [&](const std::string& tag, const std::string& ref) {
    client.Send(
        EncodeCommand({"RPC.CALL", tag, "pages",
                       "ref=" + ref + ",allow=5000,lookup=7f3a9c21e0b4d655,block=3,family=17,room=10", ""}));
  };
  std::vector<std::string> refs;
  for (int i = 10; i < 30; ++i) refs.push_back("9b1f03aa5c7e2d" + std::to_string(i));
  for (int i = 0; i < 5; ++i) ask(std::to_string(i + 1), refs[i]);
  TcpPeer silent_connection = world.cache_a.Accept();
  for (int i = 0; i < 4; ++i) silent_connection.ReadUntil("\r\n\r\n");
  TcpPeer live_connection = world.cache_a.Accept();  // requests are spread over several connections
  ASSERT_TRUE(live_connection.ReadUntil("\r\n\r\n").starts_with("REQ " + refs[4]));
  ASSERT_TRUE(silent_connection.IsSilentFor(600));  // a new connection alone is no sign of life of the server
  live_connection.Send(OkResponse("abc", "", refs[4]));
  ASSERT_EQ(ReadResponse(client)[0], "5");
  // Silent for too long while the other connection responded: its requests are sent again. STOP comes first,
  // as the server may notice a close late.
  const std::string end = silent_connection.ReadToEnd();
  for (int i = 0; i < 4; ++i) {
    ASSERT_NE(end.find("STOP " + refs[i] + "\r\n"), std::string::npos);
  }
  for (int i = 0; i < 4; ++i) {
    const std::string line = live_connection.ReadUntil("\r\n\r\n");
    live_connection.Send(OkResponse("def", "", line.substr(4, 16)));
    ASSERT_EQ(ReadResponse(client)[3], "def");
  }
}

// A server sends a response twice, and one for a request that it never got: neither may be used for a later
// request with that id.
TEST(PlatformTest, IgnoresUnsolicitedResponses) {
  World world(0, false);
  TcpPeer client = world.Client();
  client.Send(EncodeCall("1"));
  TcpPeer cache = world.cache_a.Accept();
  cache.ReadUntil("\r\n\r\n");
  cache.Send(OkResponse("abc") + OkResponse("abc") + OkResponse("not yours", "", kOtherRequestId));
  ASSERT_EQ(ReadResponse(client)[3], "abc");
  client.Send(EncodeCommand({"RPC.HEALTH", "2", ""}));
  ASSERT_EQ(ReadResponse(client)[0], "2");
  client.Send(EncodeCall("3", "", 2500, "7f3a9c21e0b4d655", kOtherRequestId));
  TcpPeer fresh = world.cache_a.Accept();  // that id is not sent on a connection where it has been answered
  ASSERT_TRUE(fresh.ReadUntil("\r\n\r\n").starts_with(std::string("REQ ") + kOtherRequestId));
  fresh.Send(OkResponse("right", "", kOtherRequestId));
  ASSERT_EQ(ReadResponse(client), (std::vector<std::string>{"3", "done", "", "right"}));
}

// Graceful shutdown: clients are accepted for a while, accepted requests are finished, and the exit status is
// 0.
TEST(PlatformTest, ShutsDownGracefully) {
  World world;
  TcpPeer client = world.Client();
  client.Send(EncodeCall("1"));
  TcpPeer cache = AcceptAtChosenCache(world);
  cache.ReadUntil("\r\n\r\n");
  world.program->Signal(SIGTERM);
  world.program->ReadLogThrough("stopping");
  TcpPeer late = world.Client();
  late.Send(EncodeCommand({"RPC.HEALTH", "7", ""}));
  ASSERT_EQ(ReadResponse(late)[1], "closing");
  ASSERT_TRUE(late.ReadToEnd().empty());  // it is idle, and new requests are no longer accepted
  cache.Send(OkResponse("abc"));
  ASSERT_EQ(ReadResponse(client)[3], "abc");
  ASSERT_EQ(world.program->Wait(), 0);
}

// After descriptors ran out, the listener must still notice waiting clients: its epoll event must not get
// lost.
TEST(PlatformTest, SurvivesDescriptorExhaustion) {
  World world(40);
  std::vector<TcpPeer> clients;
  for (int i = 0; i < 60; ++i) clients.push_back(world.Client());
  ASSERT_TRUE(clients.back().ReadToEnd().empty());  // accepted and closed at once, not left in the backlog
  clients.clear();
  for (int i = 0;; ++i) {  // the instance needs some time to close the connections on its side
    TcpPeer client = world.Client();
    client.Send(EncodeCommand({"RPC.HEALTH", "1", ""}));
    if (!client.ReadUntilOrEmpty("healthy").empty()) break;
    ASSERT_LT(i, 1000);
  }
}

// A client reads none of its responses for a while; another client is served meanwhile.
TEST(PlatformTest, BuffersForASlowClient) {
  World world(0, false);
  TcpPeer slow = world.Client(), client = world.Client();
  const std::string body(240'000, 'x');
  TcpPeer cache;
  for (int i = 10; i < 42; ++i) {  // each is answered before the next is sent, and none is read
    const std::string ref = "9b1f03aa5c7e2d" + std::to_string(i);
    slow.Send(EncodeCall(std::to_string(i), "", 2500, "7f3a9c21e0b4d655", ref));
    if (i == 10) cache = world.cache_a.Accept();
    ASSERT_TRUE(cache.ReadUntil("\r\n\r\n").starts_with("REQ " + ref));
    client.Send(EncodeCall(std::to_string(i), "", 2500, "7f3a9c21e0b4d655", kOtherRequestId));
    ASSERT_TRUE(cache.ReadUntil("\r\n\r\n").starts_with(std::string("REQ ") + kOtherRequestId));
    cache.Send(OkResponse(body, "", ref) + OkResponse("abc", "", kOtherRequestId));
    ASSERT_EQ(ReadResponse(client)[3], "abc");  // so the response before it has been received as well
  }
  for (int i = 10; i < 42; ++i) {
    ASSERT_EQ(ReadResponse(slow), (std::vector<std::string>{std::to_string(i), "done", "", body}));
  }
}

// Clients that read nothing and have used up the memory for responses hold up the responses from the servers,
// and so all other clients: they are disconnected soon, not after the 10 s that a slow client has otherwise.
TEST(PlatformTest, ClosesStalledReadersThatHoldUpOthers) {
  World world(0, false, "1024", "32");
  std::vector<TcpPeer> slow;
  TcpPeer client = world.Client(), cache;
  const std::string body(240'000, 'x');
  for (int i = 100; i < 228; ++i) {
    if ((i - 100) % 32 == 0) slow.push_back(world.Client());
    const std::string ref = "9b1f03aa5c7e2" + std::to_string(i);
    slow.back().Send(EncodeCall(std::to_string(i), "", 2500, "7f3a9c21e0b4d655", ref));
    if (i == 100) cache = world.cache_a.Accept();
    ASSERT_TRUE(cache.ReadUntil("\r\n\r\n").starts_with("REQ " + ref));
    client.Send(EncodeCall(std::to_string(i), "", 2500, "7f3a9c21e0b4d655", kOtherRequestId));
    ASSERT_TRUE(cache.ReadUntil("\r\n\r\n").starts_with(std::string("REQ ") + kOtherRequestId));
    cache.Send(OkResponse(body, "", ref) + OkResponse("abc", "", kOtherRequestId));
    const auto start = UnixMs();
    ASSERT_EQ(ReadResponse(client)[3], "abc");
    if (UnixMs() - start > 300) break;  // it was held up, and then released
  }
  world.program->ReadLogThrough("takes no answers, connection closed");
}

// One client reads 1 MB a second, and the endpoint watch stalls in the middle of a line. Neither may delay
// another client, the slow client gets every byte unchanged, and the watch is reconnected and followed.
// Guards against responses queued behind a slow connection and against an event loop that waits for the rest
// of a line.
TEST(PlatformTest, ServesBesideASlowReaderAndAStalledEndpointWatch) {
  World world(0, false);
  TcpPeer slow = world.Client(), client = world.Client(), cache;
  // The kernel buffers little for the slow client, so that the instance has to buffer the rest.
  const int receive_buffer_size = 64 * 1024;
  ASSERT_EQ(::setsockopt(slow.Descriptor(), SOL_SOCKET, SO_RCVBUF, &receive_buffer_size,
                         sizeof receive_buffer_size),
            0);
  std::string body(240'000, 'x');
  for (std::size_t i = 0; i < body.size(); ++i) body[i] = static_cast<char>('a' + i % 26);
  std::vector<std::string> expected;
  for (int i = 10; i < 18; ++i) {  // 1.9 MB in all, which the slow client reads at 1 MB a second
    const std::string ref = "9b1f03aa5c7e2d" + std::to_string(i);
    slow.Send(EncodeCall(std::to_string(i), "", 2500, "7f3a9c21e0b4d655", ref));
    if (i == 10) cache = world.cache_a.Accept();
    ASSERT_TRUE(cache.ReadUntil("\r\n\r\n").starts_with("REQ " + ref));
    cache.Send(OkResponse(body, "", ref));
    expected.push_back(EncodeCommand({std::to_string(i), "done", "", body}));
  }
  std::string expected_bytes;
  for (const auto& one : expected) expected_bytes += one;
  const auto start = UnixMs();
  std::string received_bytes;
  TestThread reader([&] { received_bytes = slow.ReadPaced(expected_bytes.size(), 1e6); });
  // The endpoint watch stops in the middle of an event.
  const std::string event =
      FleetEventJson(2, false, EndpointJson("p-1", world.parent.Address(), "up", "removed"));
  world.watch.Send(event.substr(0, 20));
  std::int64_t longest_ms = 0;
  for (int i = 0; i < 15; ++i) {  // one request every 100 ms while the slow client reads
    client.Send(EncodeCall(std::to_string(100 + i), "", 2500, "7f3a9c21e0b4d655", kOtherRequestId));
    ASSERT_TRUE(cache.ReadUntil("\r\n\r\n").starts_with(std::string("REQ ") + kOtherRequestId));
    const auto answered = UnixMs();
    cache.Send(OkResponse("abc", "", kOtherRequestId));
    ASSERT_EQ(ReadResponse(client)[3], "abc");
    longest_ms = std::max(longest_ms, UnixMs() - answered);
    ::usleep(100'000);
  }
  // From the cache's response to the client's, beside the slow client and the stalled watch.
  ASSERT_LT(longest_ms, 100);
  TcpPeer watch = world.changelog.Accept();  // reconnected after 1.8 s without a complete line
  ASSERT_EQ(watch.ReadUntil("\n"), "since 1");
  ASSERT_LT(UnixMs() - start, 3'000);
  watch.Send(event + "\n");
  watch.Close();
  ASSERT_EQ(world.changelog.Accept().ReadUntil("\n"), "since 2");  // and followed
  reader.Join();
  ASSERT_GE(UnixMs() - start, 1'500);             // the client did read slowly
  ASSERT_TRUE(received_bytes == expected_bytes);  // and got every byte in order
}

// Fault: an attempt that was cancelled while its connection was being established and then made again on the
// same connection was queued there twice and sent twice, as two copies of one request. An attempt is
// cancelled after each latency objective of 250 ms, and the SYN is sent again after 1 s. If the connection is
// established just when an attempt times out, STOP follows at once and another attempt may follow; a second
// REQ without a STOP before it must never come.
TEST(PlatformTest, SendsOneCopyOnASlowConnection) {
  std::string settings = kSettings;
  for (const auto& [from, to] : {std::pair{R"("promiseMs":2000.0,"aimStretch":2.0)", R"("promiseMs":250.0)"},
                                 std::pair{R"("connectTimeoutMs":400.0)", R"("connectTimeoutMs":5000.0)"},
                                 std::pair{R"("passThroughOk":true)", R"("passThroughOk":false)"}}) {
    settings.replace(settings.find(from), std::string_view(from).size(), to);
  }
  World world(0, false, "1024", "192", settings);
  ASSERT_EQ(::listen(world.cache_a.Descriptor(), 0), 0);
  // Fills the backlog: the next SYN is dropped and sent again.
  TcpPeer first = TcpPeer::Connect(world.cache_a.port);
  TcpPeer client = world.Client();
  client.Send(EncodeCall("1", "", 10'000));
  ASSERT_TRUE(client.IsSilentFor(600));  // past the latency objective: cancelled and attempted again
  world.cache_a.Accept();
  TcpPeer cache = world.cache_a.Accept();
  ASSERT_TRUE(cache.ReadUntil("\r\n\r\n").starts_with(std::string("REQ ") + kRequestId));
  const std::string after = cache.ReadFor(150);
  bool stopped = false;
  for (std::size_t at = 0; at < after.size();) {
    const std::size_t end = after.find("\r\n", at);
    const std::string line = after.substr(at, end == std::string::npos ? std::string::npos : end - at);
    if (line.starts_with("STOP ")) stopped = true;
    if (line.starts_with("REQ ")) {
      ASSERT_TRUE(stopped);  // no second copy while the first is in flight
      stopped = false;
    }
    at = end == std::string::npos ? after.size() : end + 2;
  }
}

// A server that reads its connections in the order in which they became ready (as epoll lists them) must
// never see a second copy of a request while the first is in flight. Four requests wait on one connection and
// time out while the program is stopped. Another request and the next attempts of the four go to a second
// connection to the same server in the same event loop iteration that sends STOP for the four on the first.
TEST(PlatformTest, SendsStopsBeforeRequestsOfTheSameRound) {
  std::string settings = kSettings;
  for (const auto& [from, to] : {std::pair{R"("promiseMs":2000.0,"aimStretch":2.0)", R"("promiseMs":800.0)"},
                                 std::pair{R"("passThroughOk":true)", R"("passThroughOk":false)"}}) {
    settings.replace(settings.find(from), std::string_view(from).size(), to);
  }
  World world(0, false, "1024", "192", settings);
  TcpPeer client = world.Client();
  const auto call = [&](int number) {
    client.Send(EncodeCall(std::to_string(number), "", 10'000, "7f3a9c21e0b4d655",
                           "9b1f03aa5c7e2d4" + std::to_string(number)));
  };
  call(1);
  TcpPeer first = world.cache_a.Accept();
  for (int i = 2; i <= 4; ++i) call(i);
  for (int i = 1; i <= 4; ++i) first.ReadUntil("\r\n\r\n");
  call(5);  // at most four on a connection while another can be opened
  TcpPeer second = world.cache_a.Accept();
  second.ReadUntil("\r\n\r\n");
  second.Send(OkResponse("abc", "", "9b1f03aa5c7e2d45"));
  ASSERT_EQ(ReadResponse(client)[0], "5");
  world.program->Signal(SIGSTOP);
  call(6);
  ASSERT_TRUE(first.IsSilentFor(1'000));  // past the latency objective of the four
  const int ready = ::epoll_create1(0);
  const std::map<int, TcpPeer*> peers{{first.Descriptor(), &first}, {second.Descriptor(), &second}};
  for (const auto& [fd, peer] : peers) {
    epoll_event event{EPOLLIN, {.fd = fd}};
    ASSERT_EQ(::epoll_ctl(ready, EPOLL_CTL_ADD, fd, &event), 0);
  }
  world.program->Signal(SIGCONT);
  std::map<std::string, int> connection_of_request;
  for (int i = 1; i <= 4; ++i)
    connection_of_request["9b1f03aa5c7e2d4" + std::to_string(i)] = first.Descriptor();
  int stops = 0, further_attempts = 0;
  while (further_attempts == 0) {
    // Everything that the iteration sent has arrived after this time.
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    epoll_event events[2];
    const int count = ::epoll_wait(ready, events, 2, kWaitLimitMs);
    ASSERT_GT(count, 0);
    for (int i = 0; i < count; ++i) {
      const int fd = events[i].data.fd;
      char block[65536];
      const ssize_t n = ::recv(fd, block, sizeof block, 0);
      ASSERT_GT(n, 0);
      std::istringstream lines(std::string(block, static_cast<std::size_t>(n)));
      for (std::string line; std::getline(lines, line);) {
        std::istringstream words(line);
        std::string word, ref;
        words >> word >> ref;
        if (word == "STOP") {
          ASSERT_EQ(connection_of_request.erase(ref), 1);
          ++stops;
        } else if (word == "REQ") {
          // No second copy while the first is in flight.
          ASSERT_TRUE(connection_of_request.emplace(ref, fd).second);
          further_attempts += ref != "9b1f03aa5c7e2d46";
        }
      }
    }
  }
  ASSERT_GT(stops, 0);
  ::close(ready);
}

TEST(PlatformTest, RetriesElsewhereAfterBusy) {
  ExpectRetryAfter([](TcpPeer& c) { c.Send(std::string(kRequestId) + " BUSY - 0\r\n\r\n"); });
}

TEST(PlatformTest, RetriesElsewhereAfterMiss) {
  ExpectRetryAfter([](TcpPeer& c) { c.Send(std::string(kRequestId) + " MISS - 0\r\n\r\n"); });
}

TEST(PlatformTest, RetriesElsewhereAfterErr) {
  ExpectRetryAfter([](TcpPeer& c) { c.Send(std::string(kRequestId) + " ERR - 0\r\n\r\n"); });
}

TEST(PlatformTest, RetriesElsewhereAfterVoid) {
  ExpectRetryAfter([](TcpPeer& c) { c.Send(std::string(kRequestId) + " VOID - 0\r\n\r\n"); });
}

TEST(PlatformTest, RetriesAfterHalfAResponse) {
  ExpectRetryAfter(
      [](TcpPeer& c) {
        c.Send(std::string(kRequestId) + " OK entity=e,issued=1 100\r\nhalf");
        c.Reset();
      },
      true);
}

}  // namespace
