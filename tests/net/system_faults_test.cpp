// The program while the machine's wall clock is set and while its system calls fail with errors that Linux
// documents. Each case checks the responses that clients must still receive.
#include <sys/epoll.h>

#include "delayed_servers.hpp"
#include "faulty_process.hpp"

namespace {

using std::chrono::hours;
using std::chrono::seconds;

// A World whose instance runs with the fault shim.
struct FaultyWorld : World {
  explicit FaultyWorld(const ProcessFaults& process_faults)
      : World(0, true, "1024", "192", kSettings, process_faults.Environment()), faults(process_faults) {}
  std::vector<const TcpListener*> Servers() const { return {&cache_a, &cache_b, &parent, &origin}; }
  const ProcessFaults& faults;
};

void SleepMs(int milliseconds) { std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds)); }

// A request id made from a number.
std::string RequestIdText(int number) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016x", static_cast<unsigned>(number));
  return text.data();
}

// Sends requests 1 to `count`, each with its own id and object.
void SendCalls(const TcpPeer& client, int count) {
  for (int number = 1; number <= count; ++number) {
    client.Send(EncodeCall(std::to_string(number), "", 2500, RequestIdText(number), RequestIdText(number)));
  }
}

// Requests in flight keep their deadlines when the wall clock is set forward or back while the servers work.
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
    for (int count = 0; count < 8; ++count) EXPECT_EQ(ReadResponse(client)[1], "done");
    // Later requests are served as well.
    client.Send(EncodeCall("9", "", 2500, RequestIdText(9), RequestIdText(9)));
    EXPECT_EQ(ReadResponse(client)[1], "done");
  }
}

// The servers hang: the final response comes within the client's timeout although the clock was set back by
// an hour.
TEST(SystemFaultsTest, AnswersInTimeAfterTheWallClockWentBack) {
  const ProcessFaults faults;
  FaultyWorld world(faults);
  TcpPeer client = world.Client();
  SendCalls(client, 8);
  const std::int64_t written_at = SteadyMs();
  SleepMs(200);
  faults.SetWallClockOffset(hours(-1));
  for (int count = 0; count < 8; ++count) EXPECT_NE(ReadResponse(client)[1], "done");
  EXPECT_LT(SteadyMs() - written_at, 2500);
}

// accept4 fails while clients wait in the backlog. They must be served once the fault has passed, although
// epoll is edge-triggered and no further client causes a new event.
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
      ASSERT_TRUE(IsReadyWithin(client.Descriptor(), POLLIN, 1500))
          << "a client in the backlog is not served";
      EXPECT_EQ(ReadResponse(client)[1], "healthy");
    }
  }
}

// socket or connect fail locally for 100 ms: the requests are served nevertheless, however often the instance
// attempts their server meanwhile.
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
      for (int count = 0; count < 4; ++count) EXPECT_EQ(ReadResponse(client)[1], "done");
    }
  }
}

// epoll_wait is interrupted, reads and writes are interrupted, short or fail, and epoll_ctl fails briefly.
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
    for (int count = 0; count < 4; ++count) EXPECT_EQ(ReadResponse(client)[1], "done");
    EXPECT_LT(SteadyMs() - written_at, 1500);
  }
}

}  // namespace
