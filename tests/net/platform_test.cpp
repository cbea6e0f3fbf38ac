// The platform's front: the real program between clients, shop caches and a change log played here.
#include <sys/epoll.h>

#include <sstream>
#include <thread>

#include "platform_world.hpp"

namespace {

TEST(PlatformTest, ServesHealthProbesAndCalls) {
  World world;
  TcpPeer client = world.Client();
  client.Send(EncodeCommand({"RPC.HEALTH", "1", ""}));
  ASSERT_EQ(Answer(client), (std::vector<std::string>{"1", "healthy", "", ""}));
  client.Send(Call("2", ",cached=4be0c1927d55a6f3"));
  TcpPeer cache = Chosen(world);
  const std::string line = cache.ReadUntil("\r\n");
  ASSERT_TRUE(
      line.starts_with(std::string("REQ ") + kRef + " queue=pages,path=7f3a9c21e0b4d655,blk=3,budget="));
  // Nearly all of what the client allows is its answer's: some allow little more than the sending time.
  ASSERT_GE(std::stoi(line.substr(line.find("budget=") + 7)), 2'485);
  ASSERT_NE(line.find(",miss=p-1"), std::string::npos);
  ASSERT_NE(line.find(",prio=1"), std::string::npos);
  ASSERT_NE(line.find(",f=share+swr"), std::string::npos);
  ASSERT_TRUE(line.ends_with(",mine=4be0c1927d55a6f3 0"));
  ASSERT_TRUE(cache.ReadUntil("\r\n").empty());
  // Every byte value, and more than a socket takes at once; the answer comes in pieces.
  std::string body;
  for (int i = 0; i < 240'000; ++i) body += static_cast<char>(i * 7 + i / 256);
  const std::string answer = Ok(body, ",detail=pulled,use=inflight:7;util:0.61;x1:0.2");
  for (std::size_t at = 0; at < answer.size(); at += 50'000) cache.Send(answer.substr(at, 50'000));
  ASSERT_EQ(Answer(client), (std::vector<std::string>{"2", "done", "", body}));
  // The client's copy is the one: no bytes, and that is said.
  client.Send(Call("3", ",cached=4be0c1927d55a6f3"));
  cache.ReadUntil("\r\n\r\n");
  cache.Send(std::string(kRef) + " SAME entity=4be0c1927d55a6f3,issued=" + std::to_string(UnixMs()) +
             " 0\r\n\r\n");
  ASSERT_EQ(Answer(client), (std::vector<std::string>{"3", "done", "keep=1", ""}));
}

TEST(PlatformTest, ForwardsAWriteUnchanged) {
  World world;
  TcpPeer client = world.Client();
  const std::string body(48'000, '\xfe');
  client.Send(EncodeCommand(
      {"RPC.CALL", "5", "orders",
       std::string("ref=") + kRef +
           ",allow=3000,replay=5c0f6e1a2b3d4c59a8b7c6d5e4f30211,lookup=7f3a9c21e0b4d655,block=0,family=17",
       body}));
  TcpPeer cache = Chosen(world);
  const std::string line = cache.ReadUntil("\r\n");
  ASSERT_NE(line.find(",uniq=5c0f6e1a2b3d4c59a8b7c6d5e4f30211"), std::string::npos);
  ASSERT_NE(line.find(",miss=o-1"), std::string::npos);
  ASSERT_TRUE(line.ends_with(" 48000"));
  ASSERT_EQ(cache.ReadExactly(48'002), body + "\r\n");
  cache.Send(Ok("sold"));
  ASSERT_EQ(Answer(client)[3], "sold");
}

// Guards against trusting what never ran or may have: each word leads to a further attempt elsewhere.
void MovesOnAfter(const std::function<void(TcpPeer&)>& end, bool again = false) {
  World world;
  TcpPeer client = world.Client();
  client.Send(Call("1"));
  bool first = false;
  TcpPeer cache = Chosen(world, &first);
  cache.ReadUntil("\r\n\r\n");
  end(cache);
  // The cache whose answer broke off has the copy by now and may be asked again; the others are passed over.
  TcpPeer next = again ? Chosen(world) : (first ? world.cache_b : world.cache_a).Accept();
  CHECK_OR_THROW(next.ReadUntil("\r\n\r\n").starts_with(std::string("REQ ") + kRef));
  next.Send(Ok("abc"));
  CHECK_OR_THROW((Answer(client) == std::vector<std::string>{"1", "done", "", "abc"}));
}

// A server that goes silent: the client has its final answer before it gives up, once, and the server is
// told.
TEST(PlatformTest, AnswersOnceBeforeTheDeadline) {
  World world;
  TcpPeer client = world.Client();
  const auto start = UnixMs();
  client.Send(Call("1", "", 700));
  TcpPeer cache = Chosen(world);
  cache.ReadUntil("\r\n\r\n");
  const auto answer = Answer(client);
  ASSERT_LT(UnixMs() - start, 750);
  ASSERT_TRUE(answer[1] == "later" || answer[1] == "error");
  ASSERT_EQ(cache.ReadUntil("\r\n"), std::string("STOP ") + kRef);
  cache.Send(Ok("too late"));
  client.Send(EncodeCommand({"RPC.HEALTH", "2", ""}));
  ASSERT_EQ(Answer(client)[0], "2");  // nothing of the late answer came before
}

TEST(PlatformTest, StopsAttemptsOfCancelledAndClosedClients) {
  World world;
  TcpPeer client = world.Client();
  client.Send(Call("1"));
  TcpPeer cache = Chosen(world);
  cache.ReadUntil("\r\n\r\n");
  client.Send(EncodeCommand({"RPC.CANCEL", "1"}));
  ASSERT_EQ(cache.ReadUntil("\r\n"), std::string("STOP ") + kRef);
  cache.Send(Ok("nobody's"));
  client.Send(EncodeCommand({"RPC.HEALTH", "2", ""}));
  ASSERT_EQ(Answer(client)[0], "2");
  client.Send(Call("3"));
  TcpPeer fresh = Chosen(world);  // an id given up here goes out on another connection
  fresh.ReadUntil("\r\n\r\n");
  client.Close();  // the same when the connection ends
  ASSERT_EQ(fresh.ReadUntil("\r\n"), std::string("STOP ") + kRef);
}

// Guards against a removed server's queued sends and sources, and against taking a new server at an old
// address for the one that has gone.
TEST(PlatformTest, FollowsTheEndpointWatch) {
  World world;
  TcpPeer client = world.Client();
  world.log.Send(Fleet(2, false,
                       Member("s-a", world.cache_a.Address(), "box", "removed") + "," +
                           Member("s-c", world.cache_a.Address())) +
                 "\n" +
                 Fleet(3, false,
                       Member("s-b", world.cache_b.Address(), "box", "draining") + "," +
                           Member("p-1", world.parent.Address(), "up", "draining")) +
                 "\n3\n");
  world.log.Close();
  world.log = world.changelog.Accept();
  ASSERT_EQ(world.log.ReadUntil("\n"), "since 3");  // all of it is applied by now
  client.Send(Call("1"));
  TcpPeer cache = world.cache_a.Accept();
  ASSERT_NE(cache.ReadUntil("\r\n\r\n").find(",miss=o-1"), std::string::npos);  // no parent is left
  cache.Send(Ok("abc"));
  ASSERT_EQ(Answer(client)[3], "abc");
  // A number that is ahead, and silence: both times it connects anew.
  world.log.Send("9\n");
  world.log = world.changelog.Accept();
  ASSERT_EQ(world.log.ReadUntil("\n"), "since 3");
  ASSERT_TRUE(world.log.IsSilentFor(100));
  world.log = world.changelog.Accept();
  ASSERT_EQ(world.log.ReadUntil("\n"), "since 3");
}

// Guards against a change log that moves: what it tells from then on comes from the new address. State and
// open requests stay, and a file that cannot be used changes nothing.
TEST(PlatformTest, FollowsAReloadedConfiguration) {
  World world;
  TcpPeer client = world.Client();
  client.Send(Call("1"));
  TcpPeer cache = Chosen(world);
  cache.ReadUntil("\r\n\r\n");
  const auto reload = [&](const std::string& text) {
    std::ofstream(world.file->path) << text;
    world.program->Signal(SIGHUP);
  };
  reload("{\"seed\": half a fi");
  ASSERT_NE(world.program->ReadLogThrough("old one holds").find("JSON"), std::string::npos);
  TcpListener moved;
  std::string config = world.config;
  config.replace(config.find(world.changelog.Address()), world.changelog.Address().size(), moved.Address());
  world.log.Send(Fleet(2, false, Member("s-x", world.cache_a.Address())) + "\n");
  world.log.Close();
  world.log = world.changelog.Accept();
  ASSERT_EQ(world.log.ReadUntil("\n"), "since 2");  // the old one is still followed
  reload(config);
  TcpPeer log = moved.Accept();
  ASSERT_EQ(log.ReadUntil("\n"), "since 2");
  ASSERT_TRUE(world.log.ReadToEnd().empty());
  cache.Send(Ok("abc"));
  ASSERT_EQ(Answer(client), (std::vector<std::string>{"1", "done", "", "abc"}));
}

// Guards against a change log that tells half an event and stops, tells events twice, or one that nobody can
// use: none may keep the later ones away.
TEST(PlatformTest, RecoversFromMalformedEndpointEvents) {
  World world;
  const std::string bad = R"({"seq":2,"fleet":{"servers":[{"id":"s-q","kind":"unheard of"}]}})";
  const std::string gone = Fleet(3, false, Member("s-a", world.cache_a.Address(), "box", "removed"));
  world.log.Send(bad + "\n" + gone + "\n");
  world.log = world.changelog.Accept();
  ASSERT_EQ(world.log.ReadUntil("\n"), "since 1");  // it may have been spoilt on the way: asked for once more
  world.log.Send(bad + "\n" + gone + "\n");
  world.log = world.changelog.Accept();
  ASSERT_EQ(world.log.ReadUntil("\n"), "since 2");
  const std::string event = Fleet(4, false, Member("p-1", world.parent.Address(), "up", "removed"));
  world.log.Send(gone + "\n" + gone + "\n");
  const auto start = UnixMs();
  for (const char one : event.substr(0, 15)) {  // bytes come, but no line ends
    world.log.Send(std::string(1, one));
    ::usleep(100'000);
  }
  TcpPeer log = world.changelog.Accept();
  ASSERT_EQ(log.ReadUntil("\n"), "since 3");
  ASSERT_LT(UnixMs() - start, 3'000);
  log.Send(event + "\n");
  log.Close();
  ASSERT_EQ(world.changelog.Accept().ReadUntil("\n"), "since 4");
  TcpPeer client = world.Client();
  client.Send(Call("1"));
  ASSERT_NE(world.cache_b.Accept().ReadUntil("\r\n\r\n").find(",miss=o-1"), std::string::npos);
}

// No copy older than a purge goes out once the grace is over, whatever the cache says.
TEST(PlatformTest, AppliesPurgesToCachedResponses) {
  World world;
  const auto purged = UnixMs();
  world.log.Send(R"({"seq":2,"invalidate":{"object":"7f3a9c21e0b4d655","time":)" + std::to_string(purged) +
                 "}}\n" + R"({"seq":3,"invalidate":{"bucket":200,"time":)" + std::to_string(purged) + "}}\n");
  world.log.Close();
  world.log = world.changelog.Accept();
  ASSERT_EQ(world.log.ReadUntil("\n"), "since 3");
  while (UnixMs() < purged + 1'300) ::usleep(10'000);
  TcpPeer client = world.Client();
  client.Send(Call("1"));
  bool first = false;
  TcpPeer cache = Chosen(world, &first);
  const std::string line = cache.ReadUntil("\r\n\r\n");
  const std::size_t at = line.find(",within=");
  ASSERT_NE(at, std::string::npos);
  ASSERT_LE(std::stol(line.substr(at + 8)), UnixMs() - purged);
  ASSERT_EQ(line.find("share"), std::string::npos);  // a fill under way may have begun before the purge
  cache.Send(std::string(kRef) + " OK entity=e0,issued=" + std::to_string(purged - 5) + " 3\r\nold\r\n");
  TcpPeer next = (first ? world.cache_b : world.cache_a).Accept();
  next.ReadUntil("\r\n\r\n");
  next.Send(Ok("new"));
  ASSERT_EQ(Answer(client)[3], "new");
}

TEST(PlatformTest, ClosesConnectionsOnMalformedInput) {
  World world;
  for (const std::string& bad :
       {std::string("GET / HTTP/1.1\r\n\r\n"), std::string("*1\r\n$99999999\r\n"), std::string("*0\r\n"),
        std::string("*-3\r\n"), std::string("*2\r\n$8\r\nRPC.CALL\r\n$70000\r\n")}) {
    TcpPeer client = world.Client();
    client.Send(bad);
    ASSERT_TRUE(client.ReadToEnd().empty());
  }
  TcpPeer client = world.Client();
  client.Send(Call("1"));
  TcpPeer cache = Chosen(world);
  cache.ReadUntil("\r\n\r\n");
  cache.Send("no answer\r\n");  // nor does a server's
  ASSERT_EQ(cache.ReadToEnd(), std::string("STOP ") + kRef + "\r\n");
}

// Guards against one unusable message taking along what else is open on its connection, against two requests
// under one id, and against a flood that keeps others waiting.
TEST(PlatformTest, RejectsOnlyTheUnusableRequest) {
  World world;
  TcpPeer client = world.Client();
  client.Send(Call("1"));
  TcpPeer cache = Chosen(world);
  cache.ReadUntil("\r\n\r\n");
  const std::string start = std::string("ref=") + kOther + ",allow=";
  const std::vector<std::vector<std::string>> bad{
      {"RPC.CALL", "2", "nonsense", start + "500", ""},
      {"RPC.CALL", "2", "pages", start + "500,lookup=zz", ""},
      {"RPC.CALL", "2", "pages", start + "500,replay=a b", ""},
      {"RPC.CALL", "2", "pages", start + "500,room=inf", ""},
      {"RPC.CALL", "2", "pages", start + "500,room=1e300", ""},
      {"RPC.CALL", "2", "pages", start + "nan", ""},
      {"RPC.CALL", "2", "pages", start + "-1", ""},
      {"RPC.CALL", "2", "pages", start + "500,family=256", ""},
      {"RPC.CALL", "2", "pages", "allow=500", ""},
      {"RPC.CALL", "2", "pages", std::string("ref=") + kRef + ",allow=500,lookup=00003a9c21e0b4d6", ""},
      {"RPC.SING", "2"}};
  for (const auto& words : bad) {
    client.Send(EncodeCommand(words));
    ASSERT_EQ(Answer(client), (std::vector<std::string>{"2", "error", "", ""}));
  }
  client.Send(EncodeCommand({"RPC.CALL", "x", "pages", start + "500", ""}));
  ASSERT_EQ(Answer(client)[1], "error");
  // A flood on another connection: 32 at most are open, the others are told at once, by whichever word.
  TcpPeer flood = world.Client();
  std::string many;
  for (int i = 100; i < 400; ++i) {
    many += Call(std::to_string(i), "", 2500, "7f3a9c21e0b4d655", "9b1f03aa5c7e2" + std::to_string(i));
  }
  flood.Send(many);
  for (int i = 0; i < 268; ++i) {
    ASSERT_NE(Answer(flood)[1], "done");
  }
  cache.Send(Ok("abc"));
  ASSERT_EQ(Answer(client), (std::vector<std::string>{"1", "done", "", "abc"}));
  // Two requests under one number: one answer, which serves neither.
  client.Send(Call("5", "", 2500, "7f3a9c21e0b4d655", kOther));
  client.Send(Call("5", "", 2500, "7f3a9c21e0b4d655", "9b1f03aa5c7e2d43"));
  ASSERT_EQ(Answer(client), (std::vector<std::string>{"5", "error", "", ""}));
  client.Send(EncodeCommand({"RPC.HEALTH", "6", ""}));
  ASSERT_EQ(Answer(client)[0], "6");
}

// Guards against connections that say nothing, or half of something, or that asked once and stay: they are
// let go, and they never keep others out.
TEST(PlatformTest, ClosesIdleClients) {
  World world(0, true, "64");
  TcpPeer client = world.Client();
  client.Send(Call("1"));
  TcpPeer cache = Chosen(world);
  cache.ReadUntil("\r\n\r\n");
  const auto start = UnixMs();
  TcpPeer silent = world.Client(), half = world.Client(), withdrawn = world.Client();
  half.Send("*5\r\n$8\r\nRPC.CALL\r\n$1\r\n");
  withdrawn.Send(Call("1", "", 2500, "7f3a9c21e0b4d655", kOther) + EncodeCommand({"RPC.CANCEL", "1"}));
  std::vector<TcpPeer> holders;
  for (int i = 0; i < 100; ++i) {  // more than there is place for
    holders.push_back(world.Client());
    holders.back().Send(EncodeCommand({"RPC.HEALTH", "1", ""}));
    ASSERT_EQ(Answer(holders.back())[1], "healthy");
  }
  ASSERT_TRUE(holders.front().ReadToEnd().empty());
  cache.Send(Ok("abc"));  // what has a request open stays throughout
  ASSERT_EQ(Answer(client)[3], "abc");
  for (TcpPeer* const one : {&silent, &half, &withdrawn}) {
    ASSERT_TRUE(one->ReadToEnd().empty());
  }
  ASSERT_LT(UnixMs() - start, 3'000);
}

// Guards against a server that stops half way through an answer: what waits on that connection goes
// elsewhere.
TEST(PlatformTest, RetriesElsewhereAfterAStalledResponse) {
  World world;
  TcpPeer client = world.Client();
  const auto start = UnixMs();
  client.Send(Call("1", "", 10'000));
  TcpPeer cache = Chosen(world);
  cache.ReadUntil("\r\n\r\n");
  cache.Send(std::string(kRef) + " OK entity=e,issued=1 100\r\nhalf");
  ASSERT_EQ(cache.ReadToEnd(), std::string("STOP ") + kRef + "\r\n");
  TcpPeer next = Chosen(world);
  next.ReadUntil("\r\n\r\n");
  next.Send(Ok("whole"));
  ASSERT_EQ(Answer(client)[3], "whole");
  ASSERT_LT(UnixMs() - start, 1'500);
}

// Guards against a connection on which nothing comes any more while its server lives: it gets nothing new,
// and what waits on it is tried again in time.
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
  TcpPeer dead = world.cache_a.Accept();
  for (int i = 0; i < 4; ++i) dead.ReadUntil("\r\n\r\n");
  TcpPeer live = world.cache_a.Accept();  // the risk is spread
  ASSERT_TRUE(live.ReadUntil("\r\n\r\n").starts_with("REQ " + refs[4]));
  ASSERT_TRUE(dead.IsSilentFor(600));  // that another connection came up is no word of the server
  live.Send(Ok("abc", "", refs[4]));
  ASSERT_EQ(Answer(client)[0], "5");
  // Silent for too long, while the other spoke. What it owed goes out again: STOP first, as a close may come
  // late.
  const std::string end = dead.ReadToEnd();
  for (int i = 0; i < 4; ++i) {
    ASSERT_NE(end.find("STOP " + refs[i] + "\r\n"), std::string::npos);
  }
  for (int i = 0; i < 4; ++i) {
    const std::string line = live.ReadUntil("\r\n\r\n");
    live.Send(Ok("def", "", line.substr(4, 16)));
    ASSERT_EQ(Answer(client)[3], "def");
  }
}

// Guards against an answer that came before it was asked for, and against a copy of one that was: neither may
// serve what comes later under that id.
TEST(PlatformTest, IgnoresUnsolicitedResponses) {
  World world(0, false);
  TcpPeer client = world.Client();
  client.Send(Call("1"));
  TcpPeer cache = world.cache_a.Accept();
  cache.ReadUntil("\r\n\r\n");
  cache.Send(Ok("abc") + Ok("abc") + Ok("not yours", "", kOther));
  ASSERT_EQ(Answer(client)[3], "abc");
  client.Send(EncodeCommand({"RPC.HEALTH", "2", ""}));
  ASSERT_EQ(Answer(client)[0], "2");
  client.Send(Call("3", "", 2500, "7f3a9c21e0b4d655", kOther));
  TcpPeer fresh = world.cache_a.Accept();  // that id does not go out where it has been answered
  ASSERT_TRUE(fresh.ReadUntil("\r\n\r\n").starts_with(std::string("REQ ") + kOther));
  fresh.Send(Ok("right", "", kOther));
  ASSERT_EQ(Answer(client), (std::vector<std::string>{"3", "done", "", "right"}));
}

// A planned restart: clients are taken for a while yet, what was taken is finished, and the end is clean.
TEST(PlatformTest, ShutsDownGracefully) {
  World world;
  TcpPeer client = world.Client();
  client.Send(Call("1"));
  TcpPeer cache = Chosen(world);
  cache.ReadUntil("\r\n\r\n");
  world.program->Signal(SIGTERM);
  world.program->ReadLogThrough("stopping");
  TcpPeer late = world.Client();
  late.Send(EncodeCommand({"RPC.HEALTH", "7", ""}));
  ASSERT_EQ(Answer(late)[1], "closing");
  ASSERT_TRUE(late.ReadToEnd().empty());  // idle, and the time for new ones is over
  cache.Send(Ok("abc"));
  ASSERT_EQ(Answer(client)[3], "abc");
  ASSERT_EQ(world.program->Wait(), 0);
}

// Guards against a listener that never hears of a waiting client again once descriptors ran out.
TEST(PlatformTest, SurvivesDescriptorExhaustion) {
  World world(40);
  std::vector<TcpPeer> clients;
  for (int i = 0; i < 60; ++i) clients.push_back(world.Client());
  ASSERT_TRUE(clients.back().ReadToEnd().empty());  // taken and closed at once, not left waiting
  clients.clear();
  for (int i = 0;; ++i) {  // those that went are closed on the other side in its own time
    TcpPeer client = world.Client();
    client.Send(EncodeCommand({"RPC.HEALTH", "1", ""}));
    if (!client.ReadUntilOrEmpty("healthy").empty()) break;
    ASSERT_LT(i, 1000);
  }
}

// A client that takes nothing of its answers, and one that is served meanwhile.
TEST(PlatformTest, BuffersForASlowClient) {
  World world(0, false);
  TcpPeer slow = world.Client(), client = world.Client();
  const std::string body(240'000, 'x');
  TcpPeer cache;
  for (int i = 10; i < 42; ++i) {  // each is answered before the next is asked, and none is read
    const std::string ref = "9b1f03aa5c7e2d" + std::to_string(i);
    slow.Send(Call(std::to_string(i), "", 2500, "7f3a9c21e0b4d655", ref));
    if (i == 10) cache = world.cache_a.Accept();
    ASSERT_TRUE(cache.ReadUntil("\r\n\r\n").starts_with("REQ " + ref));
    client.Send(Call(std::to_string(i), "", 2500, "7f3a9c21e0b4d655", kOther));
    ASSERT_TRUE(cache.ReadUntil("\r\n\r\n").starts_with(std::string("REQ ") + kOther));
    cache.Send(Ok(body, "", ref) + Ok("abc", "", kOther));
    ASSERT_EQ(Answer(client)[3], "abc");  // so the one before it on the wire is through as well
  }
  for (int i = 10; i < 42; ++i) {
    ASSERT_EQ(Answer(slow), (std::vector<std::string>{std::to_string(i), "done", "", body}));
  }
}

// Clients that read nothing and have filled their share of the memory hold the servers' answers back, and so
// everybody else: they are let go soon, not after the 10 s that a slow one has otherwise.
TEST(PlatformTest, ClosesStalledReadersThatHoldUpOthers) {
  World world(0, false, "1024", "32");
  std::vector<TcpPeer> slow;
  TcpPeer client = world.Client(), cache;
  const std::string body(240'000, 'x');
  for (int i = 100; i < 228; ++i) {
    if ((i - 100) % 32 == 0) slow.push_back(world.Client());
    const std::string ref = "9b1f03aa5c7e2" + std::to_string(i);
    slow.back().Send(Call(std::to_string(i), "", 2500, "7f3a9c21e0b4d655", ref));
    if (i == 100) cache = world.cache_a.Accept();
    ASSERT_TRUE(cache.ReadUntil("\r\n\r\n").starts_with("REQ " + ref));
    client.Send(Call(std::to_string(i), "", 2500, "7f3a9c21e0b4d655", kOther));
    ASSERT_TRUE(cache.ReadUntil("\r\n\r\n").starts_with(std::string("REQ ") + kOther));
    cache.Send(Ok(body, "", ref) + Ok("abc", "", kOther));
    const auto start = UnixMs();
    ASSERT_EQ(Answer(client)[3], "abc");
    if (UnixMs() - start > 300) break;  // it was held up, and is not any more
  }
  world.program->ReadLogThrough("takes no answers, connection closed");
}

// A client that reads 1 MB a second and a change log that breaks off in the middle of a line and stalls,
// beside a client that is served meanwhile: neither may hold it up, the slow one gets every byte unchanged,
// and the change log is connected anew and followed. Guards against answers queued behind a thin line and a
// loop that waits on a half line.
TEST(PlatformTest, ServesBesideASlowReaderAndAStalledEndpointWatch) {
  World world(0, false);
  TcpPeer slow = world.Client(), client = world.Client(), cache;
  const int kept =
      64 * 1024;  // so that the slow one's kernel buffer holds little and the doorman holds the rest
  ASSERT_EQ(::setsockopt(slow.Descriptor(), SOL_SOCKET, SO_RCVBUF, &kept, sizeof kept), 0);
  std::string body(240'000, 'x');
  for (std::size_t i = 0; i < body.size(); ++i) body[i] = static_cast<char>('a' + i % 26);
  std::vector<std::string> expected;
  for (int i = 10; i < 18; ++i) {  // 1.9 MB in all, for the slow one to read at 1 MB a second
    const std::string ref = "9b1f03aa5c7e2d" + std::to_string(i);
    slow.Send(Call(std::to_string(i), "", 2500, "7f3a9c21e0b4d655", ref));
    if (i == 10) cache = world.cache_a.Accept();
    ASSERT_TRUE(cache.ReadUntil("\r\n\r\n").starts_with("REQ " + ref));
    cache.Send(Ok(body, "", ref));
    expected.push_back(EncodeCommand({std::to_string(i), "done", "", body}));
  }
  std::string all;
  for (const auto& one : expected) all += one;
  const auto start = UnixMs();
  std::string read;
  TestThread reader([&] { read = slow.ReadPaced(all.size(), 1e6); });
  // The change log breaks off in the middle of an event and says nothing more.
  const std::string event = Fleet(2, false, Member("p-1", world.parent.Address(), "up", "removed"));
  world.log.Send(event.substr(0, 20));
  std::int64_t worst = 0;
  for (int i = 0; i < 15; ++i) {  // one request each 100 ms while the slow one reads
    client.Send(Call(std::to_string(100 + i), "", 2500, "7f3a9c21e0b4d655", kOther));
    ASSERT_TRUE(cache.ReadUntil("\r\n\r\n").starts_with(std::string("REQ ") + kOther));
    const auto answered = UnixMs();
    cache.Send(Ok("abc", "", kOther));
    ASSERT_EQ(Answer(client)[3], "abc");
    worst = std::max(worst, UnixMs() - answered);
    ::usleep(100'000);
  }
  ASSERT_LT(worst,
            100);  // from the cache's answer to the client's, while a slow one and a stalled log are there
  TcpPeer log = world.changelog.Accept();  // a change log without a whole line for 1.8 s is connected anew
  ASSERT_EQ(log.ReadUntil("\n"), "since 1");
  ASSERT_LT(UnixMs() - start, 3'000);
  log.Send(event + "\n");
  log.Close();
  ASSERT_EQ(world.changelog.Accept().ReadUntil("\n"), "since 2");  // and followed
  reader.Join();
  ASSERT_GE(UnixMs() - start, 1'500);  // it was read slowly...
  ASSERT_TRUE(read == all);            // ...and every byte is there, in order
}

// Called off while its connection was not up and asked for again there, a request waited on it twice and went
// out twice: a second copy. Where the connection comes up just as the attempt's time runs out (it is called
// off each aim, 250 ms, and the SYN is sent again after 1 s), STOP follows at once, and a next attempt may
// follow that; what must never come is a second REQ without a STOP before it.
TEST(PlatformTest, SendsOneCopyOnASlowConnection) {
  std::string settings = kSettings;
  for (const auto& [from, to] : {std::pair{R"("promiseMs":2000.0,"aimStretch":2.0)", R"("promiseMs":250.0)"},
                                 std::pair{R"("connectTimeoutMs":400.0)", R"("connectTimeoutMs":5000.0)"},
                                 std::pair{R"("passThroughOk":true)", R"("passThroughOk":false)"}}) {
    settings.replace(settings.find(from), std::string_view(from).size(), to);
  }
  World world(0, false, "1024", "192", settings);
  ASSERT_EQ(::listen(world.cache_a.Descriptor(), 0), 0);
  TcpPeer first =
      TcpPeer::Connect(world.cache_a.port);  // fills the queue: the next one's SYN is dropped, and sent again
  TcpPeer client = world.Client();
  client.Send(Call("1", "", 10'000));
  ASSERT_TRUE(client.IsSilentFor(600));  // past the aim: called off and asked for again
  world.cache_a.Accept();
  TcpPeer cache = world.cache_a.Accept();
  ASSERT_TRUE(cache.ReadUntil("\r\n\r\n").starts_with(std::string("REQ ") + kRef));
  const std::string after = cache.ReadFor(150);
  bool stopped = false;
  for (std::size_t at = 0; at < after.size();) {
    const std::size_t end = after.find("\r\n", at);
    const std::string line = after.substr(at, end == std::string::npos ? std::string::npos : end - at);
    if (line.starts_with("STOP ")) stopped = true;
    if (line.starts_with("REQ ")) {
      ASSERT_TRUE(stopped);  // a second copy while the first was out
      stopped = false;
    }
    at = end == std::string::npos ? after.size() : end + 2;
  }
}

// What a server sees that reads its connections in the order in which they became ready (as epoll lists
// them): no copy of a request while another is out. Four requests wait on one connection and their time runs
// out while the program is held; a fifth client's request and the four's next attempts go to a second
// connection to the same server in the very round in which the four are stopped on the first.
TEST(PlatformTest, SendsStopsBeforeRequestsOfTheSameRound) {
  std::string settings = kSettings;
  for (const auto& [from, to] : {std::pair{R"("promiseMs":2000.0,"aimStretch":2.0)", R"("promiseMs":800.0)"},
                                 std::pair{R"("passThroughOk":true)", R"("passThroughOk":false)"}}) {
    settings.replace(settings.find(from), std::string_view(from).size(), to);
  }
  World world(0, false, "1024", "192", settings);
  TcpPeer client = world.Client();
  const auto call = [&](int number) {
    client.Send(Call(std::to_string(number), "", 10'000, "7f3a9c21e0b4d655",
                     "9b1f03aa5c7e2d4" + std::to_string(number)));
  };
  call(1);
  TcpPeer first = world.cache_a.Accept();
  for (int i = 2; i <= 4; ++i) call(i);
  for (int i = 1; i <= 4; ++i) first.ReadUntil("\r\n\r\n");
  call(5);  // four at most on a connection while another can be opened
  TcpPeer second = world.cache_a.Accept();
  second.ReadUntil("\r\n\r\n");
  second.Send(Ok("abc", "", "9b1f03aa5c7e2d45"));
  ASSERT_EQ(Answer(client)[0], "5");
  world.program->Signal(SIGSTOP);
  call(6);
  ASSERT_TRUE(first.IsSilentFor(1'000));  // past the four's aim
  const int ready = ::epoll_create1(0);
  const std::map<int, TcpPeer*> peers{{first.Descriptor(), &first}, {second.Descriptor(), &second}};
  for (const auto& [fd, peer] : peers) {
    epoll_event event{EPOLLIN, {.fd = fd}};
    ASSERT_EQ(::epoll_ctl(ready, EPOLL_CTL_ADD, fd, &event), 0);
  }
  world.program->Signal(SIGCONT);
  std::map<std::string, int> out;
  for (int i = 1; i <= 4; ++i) out["9b1f03aa5c7e2d4" + std::to_string(i)] = first.Descriptor();
  int stops = 0, again = 0;
  while (again == 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(200));  // all of the round is in
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
          ASSERT_EQ(out.erase(ref), 1);
          ++stops;
        } else if (word == "REQ") {
          ASSERT_TRUE(out.emplace(ref, fd).second);  // a second copy while the first is out
          again += ref != "9b1f03aa5c7e2d46";
        }
      }
    }
  }
  ASSERT_GT(stops, 0);
  ::close(ready);
}

TEST(PlatformTest, RetriesElsewhereAfterBusy) {
  MovesOnAfter([](TcpPeer& c) { c.Send(std::string(kRef) + " BUSY - 0\r\n\r\n"); });
}

TEST(PlatformTest, RetriesElsewhereAfterMiss) {
  MovesOnAfter([](TcpPeer& c) { c.Send(std::string(kRef) + " MISS - 0\r\n\r\n"); });
}

TEST(PlatformTest, RetriesElsewhereAfterErr) {
  MovesOnAfter([](TcpPeer& c) { c.Send(std::string(kRef) + " ERR - 0\r\n\r\n"); });
}

TEST(PlatformTest, RetriesElsewhereAfterVoid) {
  MovesOnAfter([](TcpPeer& c) { c.Send(std::string(kRef) + " VOID - 0\r\n\r\n"); });
}

TEST(PlatformTest, RetriesAfterHalfAResponse) {
  MovesOnAfter(
      [](TcpPeer& c) {
        c.Send(std::string(kRef) + " OK entity=e,issued=1 100\r\nhalf");
        c.Reset();
      },
      true);
}

}  // namespace
