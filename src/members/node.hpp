// Runs a MembershipView on the network: one UDP socket in the program's event loop, the view's timer, its
// counters and its log lines. MembershipView implements the protocol; this class sends and receives
// datagrams. All calls must be made on the event loop's thread.
//
// Faults that it tolerates:
// - Datagrams that are malformed, foreign, of another version or too large: they are counted by reason and
//   dropped. The log reports the first one of each reason and then every 1000th, never their bytes.
// - A flood of datagrams: at most kMaxDatagramsPerRound are received per round of the event loop.
// - A full send buffer: the datagram is dropped and counted, which the protocol handles as packet loss.
// - A wall clock that jumps: the view uses a steady clock.
// - An upgrade: while the previous process holds the port, the node retries to bind it every
//   kBindRetryInterval, and the new process already serves requests.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "members/codec.hpp"
#include "members/membership_view.hpp"
#include "members/message.hpp"
#include "members/options.hpp"
#include "members/types.hpp"
#include "net/endpoint.hpp"
#include "net/event_loop.hpp"
#include "net/fd.hpp"
#include "net/timer_queue.hpp"

namespace tinspan::members {

struct NodeOptions {
  std::string fleet;  // datagrams of another fleet are rejected
  std::string name;   // of this member
  std::string zone;
  net::Endpoint listen;                    // port 0: any free port
  std::optional<net::Endpoint> advertise;  // where other members send to; none: the bound address
  std::vector<net::Endpoint> seeds;
  Options view;  // its seeds are used in addition to `seeds`
  std::size_t max_datagram_bytes = kMaxDatagramBytes;
  std::uint64_t random_seed = 0;
};

// Counters of the socket since the node was created.
struct DatagramStats {
  std::uint64_t datagrams_in = 0;
  std::uint64_t datagrams_out = 0;
  std::uint64_t bytes_in = 0;
  std::uint64_t bytes_out = 0;
  std::uint64_t send_errors = 0;
  std::array<std::uint64_t, kDecodeFailureCount> rejected{};  // indexed by DecodeFailure
};

class MembershipNode final : public net::EventLoop::Sink {
 public:
  // Maximum number of datagrams received per round of the event loop.
  static constexpr int kMaxDatagramsPerRound = 256;
  static constexpr Micros kBindRetryInterval{250'000};
  static constexpr Micros kMaxTickInterval{60'000'000};
  // Called for each received payload, with the sender's name as stated in the datagram.
  using PayloadHandler = std::function<void(const std::string& sender, const std::string& payload)>;

  // Binds the socket and starts the view. Where the address is in use, retries until it is free.
  // Throws std::system_error where binding fails for another reason. `loop` must outlive the node.
  MembershipNode(net::EventLoop& loop, NodeOptions options);
  ~MembershipNode();
  MembershipNode(const MembershipNode&) = delete;
  MembershipNode& operator=(const MembershipNode&) = delete;
  MembershipNode(MembershipNode&&) = delete;
  MembershipNode& operator=(MembershipNode&&) = delete;

  void OnReady(std::uint32_t events) override;

  // Whether this process has bound the port. Until then the previous process of the same name, which is being
  // replaced by an upgrade, represents the member.
  bool IsStarted() const { return static_cast<bool>(fd_); }
  // Notifies other members that this one leaves. Does nothing while the node is not started.
  void Leave();

  // Sets the servers that this member currently reports as failing; a change is disseminated.
  void SetFailingServers(std::vector<std::uint64_t> servers);
  // Sets the leases that this member currently holds; a change is disseminated.
  void SetLeaseClaims(std::vector<LeaseClaim> claims);

  // Sends another module's message to a member, in a separate datagram. Returns false where no member of that
  // name is known, the payload is longer than kMaxPayloadBytes, or the node is not started yet.
  bool SendPayload(const std::string& member, std::string payload);
  void SetPayloadHandler(PayloadHandler handler) { payload_handler_ = std::move(handler); }

  // The node replaces the view when it binds the port after a wait, so callers must not keep the reference.
  const MembershipView& View() const { return *view_; }
  const DatagramStats& Stats() const { return stats_; }
  // One line per member, this one first: name address zone incarnation state age_ms failing=a,b
  std::string FormatMembers() const;

 private:
  static Micros SteadyNow();
  net::Endpoint AdvertisedEndpoint() const;
  std::unique_ptr<MembershipView> MakeView() const;
  void Start();
  void WaitForPort();
  void RetryBind();
  // Receives one datagram. Returns false where the socket has no more of them.
  bool ReceiveDatagram(Micros now);
  void ProcessDatagram(Micros now, std::string_view bytes, std::size_t full_size);
  void CountRejected(const DecodeError& error);
  void TickView();
  void ProcessOutput();
  void Send(const Datagram& datagram);
  void ScheduleTick();

  net::EventLoop& loop_;
  NodeOptions options_;
  net::Endpoint bound_;  // declared before fd_, whose initializer sets it
  net::Fd fd_;
  net::EventLoop::Handle handle_ = 0;
  net::Endpoint advertised_;
  std::unique_ptr<MembershipView> view_;
  DatagramStats stats_;
  std::optional<net::TimerQueue::Id> timer_;
  PayloadHandler payload_handler_;
};

}  // namespace tinspan::members
