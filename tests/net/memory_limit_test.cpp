// The platform's instance at its memory limit: many clients at once that write in part, and clients that read
// slowly. Memory stays under the limit, and everybody else is answered.
#include "delayed_servers.hpp"
#include "resident_memory.hpp"

namespace {

constexpr const char* kMemoryMb = "64";
constexpr std::size_t kMemoryBytes = 64 << 20;
// "Clients hold at most a third of the descriptor limit": 341 of 1,024.
constexpr int kMaxClients = 340;
constexpr std::size_t kLargestOrderBytes = 48'000;
constexpr std::size_t kLargestObjectBytes = 240'000;
// A quarter of the descriptors but 20, and what each may hold outside of the account.
constexpr std::size_t kMaxServerConnections = 251;
constexpr std::size_t kUnreservedReadBytes = 8 << 10;

void ExpectUnderMemoryLimit(const Program& program) { ExpectResidentUnder(program.Pid(), kMemoryBytes); }

// An instance with 64 MB and an admin listener.
struct SmallWorld : World {
  explicit SmallWorld(const std::string& settings = kSettings)
      : World(0, true, "1024", kMemoryMb, settings, {{"PROXY_OPS", "127.0.0.1:0"}}, "info") {
    const std::string line = program->ReadLogThrough("operators' door at ");
    admin_port = std::stoi(line.substr(line.rfind(':') + 1));
  }
  std::vector<const TcpListener*> Servers() const { return {&cache_a, &cache_b, &parent, &origin}; }
  // Lists as many caches as the largest shops have, so that hundreds of requests are in flight at once.
  void AddCaches() {
    constexpr int kMoreCaches = 15;
    std::string caches;
    for (int number = 0; number < kMoreCaches; ++number) {
      caches += (number == 0 ? "" : ",") + EndpointJson("s-" + std::to_string(number), cache_a.Address());
    }
    watch.Send(FleetEventJson(2, false, caches) + "\n");
    while (Statistic("members") < kMoreCaches) std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  // Returns the value of a gauge or counter.
  std::size_t Statistic(const std::string& name) const {
    TcpPeer caller = TcpPeer::Connect(admin_port);
    caller.Send("stats\n");
    const std::string text = caller.ReadToEnd();
    const std::size_t position = text.find("\nproxy_" + name + " ");
    CHECK_OR_THROW(position != std::string::npos);
    return std::stoul(text.substr(position + name.size() + 8));
  }
  int admin_port = 0;
};

std::string Hex(std::size_t number) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016zx", number);
  return text.data();
}

// A request of its own reference, object and tag.
std::string NumberedCall(std::size_t number) {
  return EncodeCall(std::to_string(number), "", 6000, Hex(number), Hex(number));
}

// An order of the largest size.
std::string LargeOrder(std::size_t number) {
  return EncodeCommand({"RPC.CALL", std::to_string(number), "orders",
                        "ref=" + Hex(number) + ",allow=2500,replay=5c0f6e1a2b3d4c59" + Hex(number) +
                            ",lookup=" + Hex(number) + ",block=3,family=17",
                        std::string(kLargestOrderBytes, 'x')});
}

// Guards against connections being closed with requests on them, because their number was bounded by the
// memory that all of them might take: with 64 MB, 256 of the 340 that clients may hold.
TEST(MemoryLimitTest, ServesAsManyClientsAsMayComeWithLittleMemory) {
  SmallWorld world;
  world.AddCaches();
  const DelayedServers servers(world.Servers(), 500);
  std::vector<TcpPeer> clients;
  for (int number = 1; number <= kMaxClients; ++number) {
    clients.push_back(world.Client());
    clients.back().Send(NumberedCall(static_cast<std::size_t>(number)));
  }
  int answered = 0;
  for (TcpPeer& client : clients) answered += ReadResponse(client).size() == 4 ? 1 : 0;
  EXPECT_EQ(answered, kMaxClients);
  ExpectUnderMemoryLimit(*world.program);
}

// Guards against the buffers of messages that hundreds of clients have sent in part passing the memory limit,
// and against these clients keeping others from being heard.
TEST(MemoryLimitTest, AnswersOthersWhileHundredsStopHalfWayThroughARequest) {
  const SmallWorld world;
  const std::string order = LargeOrder(1);
  std::vector<TcpPeer> stopped;
  for (int number = 1; number <= kMaxClients; ++number) {
    stopped.push_back(world.Client());
    stopped.back().Send(std::string_view(order).substr(0, order.size() / 2));
  }
  TcpPeer client = world.Client();
  client.Send(EncodeCommand({"RPC.HEALTH", "1", ""}));
  ASSERT_EQ(ReadResponse(client)[1], "healthy");
  EXPECT_LE(world.Statistic("request_buffer_bytes"), kMemoryBytes / 8);
  const std::int64_t start_ms = SteadyMs();
  client.Send(LargeOrder(2));
  bool has_order = false;
  while (!has_order && SteadyMs() < start_ms + 2500) {
    for (const TcpListener* const listener : world.Servers()) {
      if (listener->HasNoConnectionFor(5)) continue;
      TcpPeer server = listener->Accept();
      server.ReadUntil("\r\n");
      has_order = server.ReadExactly(kLargestOrderBytes) == std::string(kLargestOrderBytes, 'x');
      server.Send(OkResponse("abc", "", Hex(2)));
      EXPECT_EQ(ReadResponse(client)[3], "abc");
      break;
    }
  }
  EXPECT_TRUE(has_order);
  ExpectUnderMemoryLimit(*world.program);
}

// The same with clients that write their requests slowly, some bytes at a time: they are answered as well.
TEST(MemoryLimitTest, AnswersHundredsOfClientsThatWriteSlowly) {
  const SmallWorld world;
  const DelayedServers servers(world.Servers(), 20);
  std::vector<TcpPeer> clients;
  std::vector<std::string> calls;
  for (int number = 1; number <= kMaxClients; ++number) {
    clients.push_back(world.Client());
    calls.push_back(NumberedCall(static_cast<std::size_t>(number)));
  }
  constexpr std::size_t kPieces = 8;
  for (std::size_t piece = 0; piece < kPieces; ++piece) {
    for (std::size_t index = 0; index < clients.size(); ++index) {
      const std::size_t begin = calls[index].size() * piece / kPieces;
      const std::size_t end = calls[index].size() * (piece + 1) / kPieces;
      clients[index].Send(std::string_view(calls[index]).substr(begin, end - begin));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
  }
  for (TcpPeer& client : clients) EXPECT_EQ(ReadResponse(client).size(), 4u);
  ExpectUnderMemoryLimit(*world.program);
}

// Guards against server connections that keep the memory of the responses they have passed on: with clients
// that read as fast as they can, 251 connections held up to 240 KB each, 60 MB that no account counted.
TEST(MemoryLimitTest, StaysUnderItsLimitWhileManyClientsReadFast) {
  constexpr int kReaders = 40;
  SmallWorld world;
  world.AddCaches();
  const DelayedServers servers(world.Servers(), 50, std::string(kLargestObjectBytes, 'x'));
  const ReadPace pace{.bytes_per_s = 0, .receive_buffer_bytes = 65'536};
  const std::int64_t until_ms = SteadyMs() + 4'000;
  std::vector<std::unique_ptr<BusyClient>> clients;
  for (int number = 1; number <= kReaders; ++number)
    clients.push_back(std::make_unique<BusyClient>(world.port, number, 32, until_ms, pace));
  std::size_t largest_held = 0;
  while (SteadyMs() < until_ms) {
    largest_held = std::max(largest_held, world.Statistic("server_read_buffer_bytes"));
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  EXPECT_LE(largest_held, kMemoryBytes / 4 + kMaxServerConnections * kUnreservedReadBytes);
  for (const auto& client : clients) {
    client->Join();
    EXPECT_EQ(client->EndedAt(), 0) << "a connection was closed";
  }
  ExpectUnderMemoryLimit(*world.program);
}

// Guards against memory that is freed but stays with the process: the allocator kept what it had once had
// from the system, so that loads one after the other added up.
TEST(MemoryLimitTest, GivesMemoryBackWhenTheClientsHaveLeft) {
  constexpr int kReaders = 200;
  constexpr std::size_t kMaxBytesAfterwards = 24 << 20;
  SmallWorld world;
  world.AddCaches();
  std::vector<std::string> bodies;
  for (const std::size_t bytes : {200, 5'000, 9'000, 30'000, 60'000, 100'000, 180'000, 240'000})
    bodies.emplace_back(bytes, 'x');
  const DelayedServers servers(world.Servers(), 50, bodies);
  const ReadPace pace{.bytes_per_s = 200'000, .receive_buffer_bytes = 65'536};
  const std::int64_t until_ms = SteadyMs() + 4'000;
  std::vector<std::unique_ptr<BusyClient>> clients;
  for (int number = 1; number <= kReaders; ++number)
    clients.push_back(std::make_unique<BusyClient>(world.port, number, 32, until_ms, pace));
  for (const auto& client : clients) client->Join();
  clients.clear();
  ExpectUnderMemoryLimit(*world.program);
  std::this_thread::sleep_for(std::chrono::milliseconds(2500));
#if !defined(__SANITIZE_ADDRESS__)
  EXPECT_LE(world.Statistic("resident_bytes"), kMaxBytesAfterwards);
#endif
  EXPECT_EQ(world.Statistic("client_read_buffer_bytes"), 0u);
  EXPECT_EQ(world.Statistic("client_write_queue_bytes"), 0u);
}

// Guards against responses passing the memory limit: those that wait for clients that read slowly, with what
// their queues keep beside them, and those that servers have sent in the meantime.
TEST(MemoryLimitTest, StaysUnderItsLimitWhileManyClientsReadSlowly) {
  constexpr int kReaders = 40;
  SmallWorld world;
  world.AddCaches();
  const DelayedServers servers(world.Servers(), 50, std::string(kLargestObjectBytes, 'x'));
  const ReadPace pace{.bytes_per_s = 1'000'000, .receive_buffer_bytes = 65'536};
  const std::int64_t until_ms = SteadyMs() + 4'000;
  std::vector<std::unique_ptr<BusyClient>> clients;
  for (int number = 1; number <= kReaders; ++number)
    clients.push_back(std::make_unique<BusyClient>(world.port, number, 32, until_ms, pace));
  std::size_t largest_use = 0;
  while (SteadyMs() < until_ms) {
    largest_use = std::max(largest_use, world.Statistic("response_buffer_bytes"));
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  EXPECT_GT(largest_use, kMemoryBytes / 16);  // the readers are slow enough
  EXPECT_LE(largest_use, kMemoryBytes / 8 * 3);
  for (const auto& client : clients) {
    client->Join();
    EXPECT_EQ(client->EndedAt(), 0) << "a connection was closed";
  }
  ExpectUnderMemoryLimit(*world.program);
}

}  // namespace
