// The program while its machine's wall clock is set and its system calls fail, as Linux documents them. Each
// case is what a client must still get.
#include <sys/epoll.h>

#include "delayed_servers.hpp"
#include "faulty_process.hpp"

namespace {

using std::chrono::hours;
using std::chrono::seconds;

struct FaultyWorld : World {
  explicit FaultyWorld(const ProcessFaults& process_faults)
      : World(0, true, "1024", "192", kSettings, process_faults.Environment()), faults(process_faults) {}
  std::vector<const TcpListener*> Servers() const { return {&cache_a, &cache_b, &parent, &origin}; }
  const ProcessFaults& faults;
};

void SleepMs(int milliseconds) { std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds)); }

std::string Reference(int number) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016x", static_cast<unsigned>(number));
  return text.data();
}

void SendCalls(const TcpPeer& client, int count) {
  for (int number = 1; number <= count; ++number) {
    client.Send(Call(std::to_string(number), "", 2500, Reference(number), Reference(number)));
  }
}

// Requests in flight keep their time when the wall clock is set forward or back while servers work.
TEST(SystemFaultsTest, ServesWhatIsInFlightWhileTheWallClockIsSet) {
  for (const std::chrono::microseconds step :
       {std::chrono::microseconds(hours(1)), std::chrono::microseconds(hours(-1)),
        std::chrono::microseconds(seconds(3)), std::chrono::microseconds(seconds(-3))}) {
    SCOPED_TRACE(step.count());
    const ProcessFaults faults;
    FaultyWorld world(faults);
    const DelayedServers servers(world.Servers(), 600);
    TcpPeer client = world.Client();
    SendCalls(client, 8);
    SleepMs(200);
    faults.SetWallClockOffset(step);
    for (int count = 0; count < 8; ++count) EXPECT_EQ(Answer(client)[1], "done");
    // And what comes afterwards is served.
    client.Send(Call("9", "", 2500, Reference(9), Reference(9)));
    EXPECT_EQ(Answer(client)[1], "done");
  }
}

// Servers that hang: the final answer comes in the client's time, though the clock went back by an hour.
TEST(SystemFaultsTest, AnswersInTimeAfterTheWallClockWentBack) {
  const ProcessFaults faults;
  FaultyWorld world(faults);
  TcpPeer client = world.Client();
  SendCalls(client, 8);
  const std::int64_t written_at = SteadyMs();
  SleepMs(200);
  faults.SetWallClockOffset(hours(-1));
  for (int count = 0; count < 8; ++count) EXPECT_NE(Answer(client)[1], "done");
  EXPECT_LT(SteadyMs() - written_at, 2500);
}

// accept4 fails while clients wait in the backlog: they are served once the fault has passed, without another
// client to bring a new edge.
TEST(SystemFaultsTest, ServesTheBacklogAfterAcceptHasFailed) {
  for (const int error : {ENFILE, ENOBUFS, ENOMEM, EPROTO, ENETDOWN, EHOSTUNREACH, ECONNABORTED, EINTR}) {
    SCOPED_TRACE(std::strerror(error));
    const ProcessFaults faults;
    FaultyWorld world(faults);
    faults.Fail(FaultyCall::kAccept, error, 4);
    std::vector<TcpPeer> clients;
    for (int count = 0; count < 3; ++count) clients.push_back(world.Client());
    for (TcpPeer& client : clients) {
      client.Send(EncodeCommand({"RPC.HEALTH", "1", ""}));
      ASSERT_TRUE(IsReadyWithin(client.Descriptor(), POLLIN, 1500)) << "a waiting client is not served";
      EXPECT_EQ(Answer(client)[1], "healthy");
    }
  }
}

// socket and connect fail for 100 ms on this machine: the request is served all the same, however often its
// server is tried meanwhile.
TEST(SystemFaultsTest, ServesAfterSocketAndConnectHaveFailed) {
  for (const FaultyCall call : {FaultyCall::kSocket, FaultyCall::kConnect}) {
    for (const int error : {ENFILE, ENOBUFS, ENOMEM, EADDRNOTAVAIL, ENETUNREACH}) {
      SCOPED_TRACE(testing::Message() << static_cast<int>(call) << " " << std::strerror(error));
      const ProcessFaults faults;
      FaultyWorld world(faults);
      const DelayedServers servers(world.Servers(), 5);
      TcpPeer client = world.Client();
      faults.Fail(call, error, 1'000'000);
      SendCalls(client, 4);
      SleepMs(100);
      faults.Fail(call, error, 0);
      for (int count = 0; count < 4; ++count) EXPECT_EQ(Answer(client)[1], "done");
    }
  }
}

// Waits are interrupted, reads and writes are short, registering fails for a moment.
TEST(SystemFaultsTest, ServesWhileCallsAreInterruptedOrShort) {
  struct Fault {
    FaultyCall call;
    int error;
    int count;
  };
  for (const Fault fault :
       {Fault{FaultyCall::kWait, EINTR, 20}, Fault{FaultyCall::kReceive, EINTR, 20},
        Fault{FaultyCall::kReceive, kShortTransfer, 60}, Fault{FaultyCall::kReceive, ENOBUFS, 3},
        Fault{FaultyCall::kSend, EINTR, 3}, Fault{FaultyCall::kSend, kShortTransfer, 10},
        Fault{FaultyCall::kSend, ENOBUFS, 3}, Fault{FaultyCall::kRegister, ENOMEM, 2}}) {
    SCOPED_TRACE(testing::Message() << static_cast<int>(fault.call) << " " << fault.error);
    const ProcessFaults faults;
    FaultyWorld world(faults);
    const DelayedServers servers(world.Servers(), 5);
    faults.Fail(fault.call, fault.error, fault.count);
    TcpPeer client = world.Client();
    SendCalls(client, 4);
    const std::int64_t written_at = SteadyMs();
    for (int count = 0; count < 4; ++count) EXPECT_EQ(Answer(client)[1], "done");
    EXPECT_LT(SteadyMs() - written_at, 1500);
  }
}

}  // namespace
