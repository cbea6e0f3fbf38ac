// What crosses what: a request, an answer or a signal in the very moment in which something else happens.
// The crossing is forced: the program is stopped (SIGSTOP) while both are put into its sockets.
#include <fcntl.h>
#include <netinet/tcp.h>

#include <cstdio>
#include <thread>

#include "platform_world.hpp"

namespace {

std::string Ref(int number) {
  char text[17];
  std::snprintf(text, sizeof text, "9b1f03aa5c%06x", static_cast<unsigned>(number));
  return text;
}
std::string Order(const std::string& tag, const std::string& ref, const std::string& body) {
  return EncodeCommand({"RPC.CALL", tag, "orders",
                        "ref=" + ref + ",allow=3000,replay=5c0f6e1a2b3d4c59a8b7c6d5" + ref.substr(8) +
                            ",lookup=7f3a9c21e0b4d655,block=0,family=17",
                        body});
}
void Healthy(TcpPeer& client, const std::string& tag) {
  client.Send(EncodeCommand({"RPC.HEALTH", tag, ""}));
  CHECK_OR_THROW(Answer(client)[0] == tag);
}

// A doorman with its door, to see what it has taken in.
struct OpenWorld : World {
  explicit OpenWorld(rlim_t descriptors = 0, const std::string& sockets = "1024")
      : World(descriptors, true, sockets, "192", kSettings, {{"PROXY_OPS", "127.0.0.1:0"}}) {
    const std::string line = program->ReadLogThrough("operators' door at ");
    door = std::stoi(line.substr(line.rfind(':') + 1));
  }
  // Returns once the figure has that value.
  void Await(const std::string& figure, std::size_t value) {
    const std::string line = "proxy_" + figure + " " + std::to_string(value) + "\n";
    const auto limit = UnixMs() + kWaitLimitMs;
    for (std::string figures; figures.find(line) == std::string::npos;) {
      CHECK_OR_THROW(UnixMs() < limit);
      TcpPeer operators = TcpPeer::Connect(door);
      operators.Send("stats\n");
      figures = operators.ReadUntil("end\n");
    }
  }
  void Reload(const std::string& text) {
    std::ofstream(file->path) << text;
    program->Signal(SIGHUP);
  }
  int door = 0;
};

// More than a buffer holds, and the end behind it: nothing of it is sent on.
TEST(CrossingsTest, SendsNothingForAClientThatSentMuchAndLeft) {
  World world;
  TcpPeer client = world.Client();
  Healthy(client, "1");
  {
    const StoppedProgram stopped(*world.program);
    std::string calls;
    for (int i = 0; i < 560; ++i) calls += Call(std::to_string(i + 2), "", 2500, "7f3a9c21e0b4d655", Ref(i));
    ASSERT_GT(client.SendUntilBlocked(calls, calls.size()), 65'536);  // more than a buffer
    client.Reset();
  }
  TcpPeer other = world.Client();
  Healthy(other, "1");
  Healthy(other, "2");
  ASSERT_TRUE(world.cache_a.HasNoConnectionFor(200));
  ASSERT_TRUE(world.cache_b.HasNoConnectionFor(1));
  ASSERT_TRUE(world.origin.HasNoConnectionFor(1));
}

// Calls and their cancels in one go, more of them than one turn: none is sent on.
TEST(CrossingsTest, SendsNothingForARequestCancelledLaterInTheInput) {
  World world;
  TcpPeer client = world.Client();
  Healthy(client, "1");
  {
    const StoppedProgram stopped(*world.program);
    std::string text;
    for (int i = 0; i < 40; ++i) text += Call(std::to_string(i + 2), "", 2500, "7f3a9c21e0b4d655", Ref(i));
    for (int i = 0; i < 40; ++i) text += EncodeCommand({"RPC.CANCEL", std::to_string(i + 2)});
    client.Send(text);
  }
  Healthy(client, "100");
  ASSERT_TRUE(world.cache_a.HasNoConnectionFor(200));
  ASSERT_TRUE(world.cache_b.HasNoConnectionFor(1));
  client.Send(Call("101"));  // and it is served as before
  TcpPeer cache = Chosen(world);
  cache.ReadUntil("\r\n\r\n");
  cache.Send(Ok("abc"));
  ASSERT_EQ(Answer(client)[3], "abc");
}

// Bodies over the doorman's share of memory: nothing new is taken. Who leaves or calls off is heeded.
void HeedsWhoLeavesWhileHeld(const std::function<void(TcpPeer&)>& leave) {
  World world(0, true, "1024", "2");
  TcpPeer client = world.Client();
  client.Send(Call("1"));
  TcpPeer cache = Chosen(world);
  CHECK_OR_THROW(cache.ReadUntil("\r\n\r\n").starts_with(std::string("REQ ") + kRef));
  TcpPeer writer = world.Client();
  const std::string body(48'000, 'w');
  for (int i = 0; i < 16; ++i) writer.Send(Order(std::to_string(i + 1), Ref(i), body));
  TcpPeer late = world.Client();
  for (int tag = 1;; ++tag) {  // until nothing new is taken
    late.Send(EncodeCommand({"RPC.HEALTH", std::to_string(tag), ""}));
    if (late.IsSilentFor(200)) break;
    CHECK_OR_THROW(Answer(late)[0] == std::to_string(tag) && tag < 1000);
  }
  const auto left = UnixMs();
  leave(client);
  // More orders may be written to the same connection; the STOP comes among them.
  cache.ReadUntil(std::string("STOP ") + kRef + "\r\n");
  CHECK_OR_THROW(UnixMs() - left < 1'000);  // not at the deadline
}

// A table full of idle clients, a newcomer, and a request from the one that has been idle longest.
TEST(CrossingsTest, EvictsNoClientThatHasJustAsked) {
  World world(0, true, "64");
  std::vector<TcpPeer> idle;
  for (int i = 0; i < 27; ++i) {  // all that 64 descriptors allow
    idle.push_back(world.Client());
    Healthy(idle.back(), "1");
  }
  TcpPeer newcomer;
  {
    const StoppedProgram stopped(*world.program);
    newcomer = world.Client();
    newcomer.Send(EncodeCommand({"RPC.HEALTH", "1", ""}));
    idle[0].Send(Call("2"));
  }
  TcpPeer cache = Chosen(world);
  cache.ReadUntil("\r\n\r\n");
  cache.Send(Ok("abc"));
  ASSERT_EQ(Answer(idle[0]), (std::vector<std::string>{"2", "done", "", "abc"}));
  ASSERT_EQ(Answer(newcomer)[1], "healthy");  // the place of the next one
  ASSERT_TRUE(idle[1].ReadToEnd().empty());
}

// Answers that the socket has not taken, then input that cannot be read: they arrive whole before the end.
TEST(CrossingsTest, DeliversResponsesBeforeEndOfStream) {
  OpenWorld world;
  TcpPeer client = world.Client();
  const std::string body(240'000, 'b');
  std::vector<TcpPeer> caches;
  std::string calls;
  for (int i = 0; i < 30; ++i) calls += Call(std::to_string(i + 1), "", 2500, "7f3a9c21e0b4d655", Ref(i));
  client.Send(calls);
  std::size_t served = 0;
  std::string expected;
  while (served < 12) {  // of those that the doorman has let through, four on a connection
    TcpPeer cache = Chosen(world);
    for (int i = 0; i < 4 && served < 12; ++i) {
      const std::string line = cache.ReadUntil("\r\n\r\n");
      cache.Send(Ok(body, "", line.substr(4, 16)));
      ++served;
    }
    caches.push_back(std::move(cache));
  }
  world.Await("completed_total", served);
  client.Send("garbage\r\n");
  const std::string all = client.ReadToEnd();
  std::size_t done = 0;
  for (std::size_t at = 0; (at = all.find("$4\r\ndone\r\n", at)) != std::string::npos; ++at) ++done;
  ASSERT_GE(done, served);
  ASSERT_TRUE(all.ends_with("\r\n"));
  ASSERT_GT(all.size(), served * body.size());
}

// A connection in the backlog, and a request written to it, in the moment in which accepting ends.
TEST(CrossingsTest, AcceptsTheBacklogBeforeShutdown) {
  World world;
  world.program->Signal(SIGTERM);
  world.program->ReadLogThrough("stopping");
  TcpPeer client;
  {
    const StoppedProgram stopped(*world.program);
    client = world.Client();
    client.Send(Call("1"));
    std::this_thread::sleep_for(std::chrono::milliseconds(900));  // past the end of accepting
  }
  TcpPeer cache = Chosen(world);
  cache.ReadUntil("\r\n\r\n");
  cache.Send(Ok("abc"));
  ASSERT_EQ(Answer(client), (std::vector<std::string>{"1", "done", "", "abc"}));
  ASSERT_TRUE(client.ReadToEnd().empty());
  client.Close();
  ASSERT_EQ(world.program->Wait(), 0);
}

// A request of which a piece comes just when accepting ends, and the rest after it, is answered.
TEST(CrossingsTest, ReceivesAFragmentedRequestDuringShutdown) {
  World world;
  TcpPeer client = world.Client(), other = world.Client();
  Healthy(client, "1");
  Healthy(other, "1");
  const std::string call = Call("2");
  client.Send(call.substr(0, 20));
  world.program->Signal(SIGTERM);
  world.program->ReadLogThrough("stopping");
  {
    const StoppedProgram stopped(*world.program);
    std::this_thread::sleep_for(std::chrono::milliseconds(800));  // past the end of accepting
    client.Send(call.substr(20, 20));
    other.Send(EncodeCommand({"RPC.HEALTH", "2", ""}));
  }
  ASSERT_EQ(Answer(other)[1], "closing");  // the round in which accepting ended has come
  client.Send(call.substr(40));
  TcpPeer cache = Chosen(world);
  cache.ReadUntil("\r\n\r\n");
  cache.Send(Ok("abc"));
  ASSERT_EQ(Answer(client), (std::vector<std::string>{"2", "done", "", "abc"}));
  client.Close();
  ASSERT_EQ(world.program->Wait(), 0);
}

// Who rests until the doorman ends is let go without a reset, and what it writes after that end is not sent
// on.
TEST(CrossingsTest, HalfClosesBeforeItCloses) {
  World world;
  TcpPeer client = world.Client();
  Healthy(client, "1");
  world.program->Signal(SIGTERM);
  ASSERT_TRUE(client.ReadToEnd().empty());  // the end, in order
  client.Send(Call("2"));                   // crosses it: the client will ask elsewhere
  ASSERT_TRUE(world.cache_a.HasNoConnectionFor(100));
  ASSERT_TRUE(world.cache_b.HasNoConnectionFor(1));
  client.Close();
  ASSERT_EQ(world.program->Wait(), 0);
  ASSERT_TRUE(world.cache_a.HasNoConnectionFor(1));
  ASSERT_TRUE(world.cache_b.HasNoConnectionFor(1));
}

// Both signals in one round, in both orders: the configuration is read anew and the program ends in order.
TEST(CrossingsTest, HandlesBothSignalsOfOneRound) {
  for (const bool reload_first : {true, false}) {
    World world;
    TcpPeer client = world.Client();
    client.Send(Call("1"));
    TcpPeer cache = Chosen(world);
    cache.ReadUntil("\r\n\r\n");
    {
      const StoppedProgram stopped(*world.program);
      world.program->Signal(reload_first ? SIGHUP : SIGTERM);
      world.program->Signal(reload_first ? SIGTERM : SIGHUP);
    }
    world.program->ReadLogThrough("configuration read anew");
    cache.Send(Ok("abc"));
    ASSERT_EQ(Answer(client), (std::vector<std::string>{"1", "done", "", "abc"}));
    client.Close();
    ASSERT_EQ(world.program->Wait(), 0);
  }
}

// A whole list that leaves a server out: it is forgotten like one that is told removed.
TEST(CrossingsTest, RemovesEndpointsMissingFromACompleteList) {
  OpenWorld world;
  world.Await("members", 4);
  world.log.Send(
      Fleet(2, true,
            Member("s-b", world.cache_b.Address()) + "," + Member("o-1", world.origin.Address(), "store")) +
      "\n2\n");
  world.Await("members", 2);
  TcpPeer client = world.Client();
  client.Send(Call("1"));
  TcpPeer cache = world.cache_b.Accept();
  ASSERT_NE(cache.ReadUntil("\r\n\r\n").find(",miss=o-1"), std::string::npos);  // the parent has gone as well
  cache.Send(Ok("abc"));
  ASSERT_EQ(Answer(client)[3], "abc");
}

// An event that breaks in its middle: what stood before the break has not been heard.
TEST(CrossingsTest, AppliesNothingOfABrokenEvent) {
  OpenWorld world;
  TcpListener stranger;
  const std::string begun = Member("s-a", stranger.Address()) + "," + Member("s-b", stranger.Address()) +
                            "," + Member("s-n", stranger.Address());
  std::string broken = Fleet(2, false, begun + "," + Member("s-z", stranger.Address(), "no such kind"));
  world.log.Send(broken + "\n");
  world.log = world.changelog.Accept();
  ASSERT_EQ(world.log.ReadUntil("\n"), "since 1");
  world.Await("members", 4);
  TcpPeer client = world.Client();
  client.Send(Call("1"));
  TcpPeer cache = Chosen(world);
  cache.ReadUntil("\r\n\r\n");
  cache.Send(Ok("abc"));
  ASSERT_EQ(Answer(client)[3], "abc");
  ASSERT_TRUE(stranger.HasNoConnectionFor(1));
}

// Discovery moves: until the new one has spoken, the old one's drain is heard.
TEST(CrossingsTest, NoticesADrainWhileDiscoveryMoves) {
  OpenWorld world;
  world.log.Send("1\n");
  TcpPeer client = world.Client();
  Healthy(client, "1");
  TcpListener moved;
  std::string config = world.config;
  config.replace(config.find(world.changelog.Address()), world.changelog.Address().size(), moved.Address());
  world.Reload(config);
  TcpPeer silent = moved.Accept();
  ASSERT_EQ(silent.ReadUntil("\n"), "since 1");
  world.log.Send(Fleet(2, false, Member("s-a", world.cache_a.Address(), "box", "draining")) + "\n2\n");
  world.Await("members_unavailable", 1);
  // The new one speaks: it brings what it knows, and the old watch ends.
  silent.Send(Fleet(2, false, Member("s-a", world.cache_a.Address(), "box", "draining")) + "\n2\n");
  ASSERT_TRUE(world.log.ReadToEnd().empty());
  world.Await("members_unavailable", 1);
}

// A reload that names the address of a watch that has fallen silent: it is made anew at once.
TEST(CrossingsTest, ReconnectsASilentWatchOnReload) {
  OpenWorld world;
  world.log.Send("1\n");
  std::this_thread::sleep_for(std::chrono::milliseconds(1'350));
  world.Reload(world.config);
  world.log = world.changelog.Accept();
  ASSERT_EQ(world.log.ReadUntil("\n"), "since 1");
  world.program->ReadLogThrough("configuration read anew");
  world.Reload(world.config);
  world.program->ReadLogThrough("configuration read anew");  // with all that was said in between
  ASSERT_EQ(world.program->log.find("silent, connecting anew"), std::string::npos);
}

// Idle clients have taken all that they can get, and discovery is away: a drain told on its return is heeded,
// the door answers and requests are served.
TEST(CrossingsTest, RecoversDiscoveryWhenIdleClientsFillTheDescriptors) {
  OpenWorld world(64, "64");
  std::vector<TcpPeer> idle;
  TcpPeer client = world.Client();
  for (int i = 0; i < 80; ++i) {
    idle.push_back(world.Client());
    idle.back().Send(EncodeCommand({"RPC.HEALTH", "1", ""}));
  }
  std::vector<TcpPeer> callers;  // the door's are bounded as well
  for (int i = 0; i < 30; ++i) callers.push_back(TcpPeer::Connect(world.door));
  world.log.Close();
  for (int i = 0; i < 3; ++i) world.changelog.Accept().Close();
  world.log = world.changelog.Accept();
  ASSERT_EQ(world.log.ReadUntil("\n"), "since 1");
  world.log.Send(Fleet(2, false, Member("s-a", world.cache_a.Address(), "box", "removed")) + "\n2\n");
  world.Await("members", 3);
  client = world.Client();  // a newcomer finds room
  client.Send(Call("1"));
  TcpPeer cache = world.cache_b.Accept();
  cache.ReadUntil("\r\n\r\n");
  cache.Send(Ok("abc"));
  ASSERT_EQ(Answer(client), (std::vector<std::string>{"1", "done", "", "abc"}));
}

// No descriptor is left for a connection to a server: the request is refused, the server is not accused.
TEST(CrossingsTest, BlamesNoEndpointForItsOwnDescriptorLimit) {
  OpenWorld world(48);
  TcpPeer client = world.Client();
  Healthy(client, "1");
  std::vector<TcpPeer> idle;
  for (int i = 0; i < 60; ++i) idle.push_back(world.Client());
  client.Send(Call("2"));
  ASSERT_EQ(Answer(client)[1], "later");
  ASSERT_TRUE(world.cache_a.HasNoConnectionFor(1));
  ASSERT_TRUE(world.cache_b.HasNoConnectionFor(1));
  world.program->Signal(SIGTERM);
  idle.clear();
  client.Close();
  ASSERT_EQ(world.program->Wait(), 0);
  ASSERT_EQ(world.program->log.find("connection lost"), std::string::npos);
}

std::string With(std::string settings, const std::string& was, const std::string& is) {
  const std::size_t at = settings.find(was);
  CHECK_OR_THROW(at != std::string::npos);
  return settings.replace(at, was.size(), is);
}

// A server that takes no connection until it is opened: its backlog is full, and what else comes is dropped
// and tried again by the kernel a second later.
class Shut {
 public:
  explicit Shut(TcpListener& server) : server_(server) {
    CHECK_OR_THROW(::listen(server.Descriptor(), 0) == 0);
    for (bool full = false; !full;) {
      CHECK_OR_THROW(fillers_.size() < 16);
      const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      sockaddr_in at{};
      at.sin_family = AF_INET;
      at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
      at.sin_port = htons(static_cast<std::uint16_t>(server.port));
      ::connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at);
      pollfd one{fd, POLLOUT, 0};
      full = ::poll(&one, 1, 100) == 0;
      fillers_.emplace_back(fd);
    }
  }
  // The next connection that is not one of ours.
  TcpPeer Open() {
    CHECK_OR_THROW(::listen(server_.Descriptor(), 64) == 0);
    for (TcpPeer& filler : fillers_) ours_.push_back(Port(filler.Descriptor(), false));
    while (true) {
      TcpPeer peer = server_.Accept();
      const int from = Port(peer.Descriptor(), true);
      if (std::find(ours_.begin(), ours_.end(), from) == ours_.end()) return peer;
    }
  }

 private:
  static int Port(int fd, bool of_peer) {
    sockaddr_in at{};
    socklen_t size = sizeof at;
    CHECK_OR_THROW((of_peer ? ::getpeername : ::getsockname)(fd, reinterpret_cast<sockaddr*>(&at), &size) ==
                   0);
    return ntohs(at.sin_port);
  }
  TcpListener& server_;
  std::vector<TcpPeer> fillers_;
  std::vector<int> ours_;
};

// Its client leaves while a request waits for a connection: when that comes up, nothing is written to it.
void NothingForWhoLeftWhileItConnected(const std::function<void(TcpPeer&)>& leave) {
  World world(0, false, "1024", "192",
              With(kSettings, "\"connectTimeoutMs\":400.0", "\"connectTimeoutMs\":3000.0"));
  Shut shut(world.cache_a);
  TcpPeer client = world.Client(), other = world.Client();
  client.Send(Call("1"));
  client.Send(EncodeCommand({"RPC.HEALTH", "2", ""}));
  CHECK_OR_THROW(Answer(client)[0] == "2");
  leave(client);
  Healthy(other, "1");
  TcpPeer cache = shut.Open();
  CHECK_OR_THROW(cache.IsSilentFor(300));
}

// A keyed request whose answer broke off is asked for again within its window only, and the window lapses
// while the connection for that comes up.
TEST(CrossingsTest, DoesNotRetryAfterTheIdempotencyWindow) {
  World world(0, false, "1024", "192",
              With(With(kSettings, "\"connectTimeoutMs\":400.0", "\"connectTimeoutMs\":3000.0"),
                   "\"windowMs\":6000.0", "\"windowMs\":500.0"));
  TcpPeer client = world.Client();
  client.Send(Order("1", kRef, "paid"));
  TcpPeer cache = world.cache_a.Accept();
  ASSERT_TRUE(cache.ReadUntil("paid\r\n").starts_with(std::string("REQ ") + kRef));
  Shut shut(world.cache_a);
  cache.Reset();
  std::this_thread::sleep_for(std::chrono::milliseconds(600));  // the window, and more
  TcpPeer again = shut.Open();
  ASSERT_NE(Answer(client)[1], "done");
  ASSERT_TRUE(again.IsSilentFor(200));
}

// A server that has stopped reading: a STOP that its socket does not take is no STOP, and the rest of the
// request before it must not arrive after the next attempt has begun. The connection is ended at once.
TEST(CrossingsTest, ClosesAConnectionThatTakesNoStop) {
  World world(0, false);
  const int small = 4096;
  ASSERT_EQ(::setsockopt(world.cache_a.Descriptor(), SOL_SOCKET, SO_RCVBUF, &small, sizeof small), 0);
  TcpPeer client = world.Client();
  client.Send(Call("1"));
  TcpPeer cache = world.cache_a.Accept();
  ASSERT_TRUE(cache.ReadUntil("\r\n\r\n").starts_with(std::string("REQ ") + kRef));
  const std::string body(48'000, 'w');
  bool ended = false;
  client.Send(EncodeCommand({"RPC.CANCEL", "1"}));
  for (int i = 2; i < 100 && !ended; ++i) {  // each is called off, none is read: more than a socket takes
    client.Send(Order(std::to_string(i), Ref(i), body) +
                EncodeCommand({"RPC.HEALTH", std::to_string(1'000 + i), ""}));
    ASSERT_EQ(Answer(client)[0], std::to_string(1'000 + i));
    client.Send(EncodeCommand({"RPC.CANCEL", std::to_string(i)}) +
                EncodeCommand({"RPC.HEALTH", std::to_string(2'000 + i), ""}));
    ASSERT_EQ(Answer(client)[0], std::to_string(2'000 + i));
    pollfd one{cache.Descriptor(), 0, 0};
    ended = ::poll(&one, 1, 0) == 1 && (one.revents & (POLLHUP | POLLERR)) != 0;
  }
  if (!ended) {
    pollfd one{cache.Descriptor(), 0, 0};
    ended = ::poll(&one, 1, 1'000) == 1;  // the end may be on its way
  }
  ASSERT_TRUE(ended);
}

// "The client's copy is the one" holds for the copy that the client has named, and for no other.
TEST(CrossingsTest, RevalidatesACopyOnlyByItsOwnEntityTag) {
  for (const std::string& held : {std::string(",cached=4be0c1927d55a6f3"), std::string()}) {
    World world;
    TcpPeer client = world.Client();
    client.Send(Call("1", held));
    bool first = false;
    TcpPeer cache = Chosen(world, &first);
    cache.ReadUntil("\r\n\r\n");
    cache.Send(std::string(kRef) + " SAME entity=0000c1927d55a6f3,issued=" + std::to_string(UnixMs()) +
               " 0\r\n\r\n");
    TcpPeer other = (first ? world.cache_b : world.cache_a).Accept();
    other.ReadUntil("\r\n\r\n");
    other.Send(Ok("abc"));
    ASSERT_EQ(Answer(client), (std::vector<std::string>{"1", "done", "", "abc"}));
  }
}

// A request in flight at a server that hangs, with a long deadline, when SIGTERM comes: its client is told
// before SIGKILL may come, and may ask elsewhere.
TEST(CrossingsTest, AnswersBeforeTheKillDeadline) {
  World world(0, false, "1024", "192", With(kSettings, "\"giveUpMs\":2500.0", "\"giveUpMs\":9000.0"));
  TcpPeer client = world.Client();
  client.Send(Call("1", "", 8'500));
  TcpPeer cache = world.cache_a.Accept();
  cache.ReadUntil("\r\n\r\n");
  world.program->Signal(SIGTERM);
  const auto told = UnixMs();
  const auto answer = Answer(client);
  ASSERT_TRUE(answer[1] == "later" || answer[1] == "error");
  ASSERT_LT(UnixMs() - told, 3'700);
  client.Close();
  ASSERT_EQ(world.program->Wait(), 0);
}

// Thirty doormans killed at once and started again: nine in ten are ready within 10 s.
TEST(CrossingsTest, ThirtyInstancesRestartAtOnce) {
  constexpr int kDoormans = 30;
  World world;
  const auto start = [&] {
    return std::make_unique<Program>(
        std::vector<std::string>{"serve"},
        std::map<std::string, std::string>{
            {"PROXY_NAME", "n0"}, {"PROXY_LISTEN", "127.0.0.1:0"}, {"PROXY_CONFIG", world.file->path}});
  };
  std::vector<std::unique_ptr<Program>> fleet;
  for (int i = 0; i < kDoormans; ++i) fleet.push_back(start());
  for (auto& one : fleet) one->Port();
  for (auto& one : fleet) one->Signal(SIGKILL);
  const auto killed = UnixMs();
  for (auto& one : fleet) one = start();
  int ready = 0;
  for (auto& one : fleet) {
    TcpPeer client = TcpPeer::Connect(one->Port());
    client.Send(EncodeCommand({"RPC.HEALTH", "1", ""}));
    ready += Answer(client)[1] == "healthy" && UnixMs() - killed < 10'000;
  }
  ASSERT_GE(ready, kDoormans * 9 / 10);
}

// Settings of other customers: one class, one attempt, windows of milliseconds, no parents, nobody counted.
TEST(CrossingsTest, ServesUnderOtherCustomersSettings) {
  const std::vector<std::string> all{
      With(kSettings, "\"maxAttempts\":8", "\"maxAttempts\":1"),
      With(kSettings, "\"windowMs\":5000.0", "\"windowMs\":1.0"),
      With(kSettings, "\"midKind\":1", "\"midKind\":-1"),
      With(kSettings, "\"instancesByZone\":[0,1]", "\"instancesByZone\":[]"),
      With(kSettings, "\"instancesByZone\":[0,1]", "\"instancesByZone\":[0,0]"),
      With(kSettings, "\"instances\":1", "\"instances\":0"),
      With(kSettings, "\"cancel\":true", "\"cancel\":false"),
      With(kSettings, "\"passThroughOk\":true", "\"passThroughOk\":false"),
      With(kSettings, "\"paceKbPerS\":5000.0", "\"paceKbPerS\":0.0"),
      With(kSettings, "\"streamsPerConn\":100", "\"streamsPerConn\":1"),
      With(kSettings, "\"retryAfter\":true", "\"retryAfter\":false")};
  for (const std::string& settings : all) {
    World world(0, false, "1024", "192", settings);
    TcpPeer client = world.Client();
    client.Send(Call("1"));
    TcpPeer cache = world.cache_a.Accept();
    cache.ReadUntil("\r\n\r\n");
    cache.Send(Ok("abc"));
    ASSERT_EQ(Answer(client), (std::vector<std::string>{"1", "done", "", "abc"}));
  }
}

TEST(CrossingsTest, NoticesAClientThatClosesWhilePaused) {
  HeedsWhoLeavesWhileHeld([](TcpPeer& client) { client.Close(); });
}

TEST(CrossingsTest, NoticesAClientThatHalfClosesWhilePaused) {
  HeedsWhoLeavesWhileHeld(
      [](TcpPeer& client) { CHECK_OR_THROW(::shutdown(client.Descriptor(), SHUT_WR) == 0); });
}

TEST(CrossingsTest, NoticesACancelWhilePaused) {
  HeedsWhoLeavesWhileHeld([](TcpPeer& client) { client.Send(EncodeCommand({"RPC.CANCEL", "1"})); });
}

TEST(CrossingsTest, SendsNothingForAClientThatClosedDuringConnect) {
  NothingForWhoLeftWhileItConnected([](TcpPeer& client) { client.Close(); });
}

TEST(CrossingsTest, SendsNothingForAClientThatHalfClosedDuringConnect) {
  NothingForWhoLeftWhileItConnected(
      [](TcpPeer& client) { CHECK_OR_THROW(::shutdown(client.Descriptor(), SHUT_WR) == 0); });
}

TEST(CrossingsTest, SendsNothingForARequestCancelledDuringConnect) {
  NothingForWhoLeftWhileItConnected([](TcpPeer& client) { client.Send(EncodeCommand({"RPC.CANCEL", "1"})); });
}

}  // namespace
