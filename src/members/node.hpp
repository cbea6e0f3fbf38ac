// A membership view on the network: one UDP socket in the program's event loop, the view's timer, its
// counters and its log lines. What is decided comes from MembershipView; this part carries datagrams.
//
// Faults it withstands: datagrams that are malformed, foreign, of another version or too large (counted by
// reason and dropped; the log names the first of each reason and then every 1000th, never their bytes); a
// flood (at most kMaxDatagramsPerRound datagrams a round of the loop); a socket whose buffer is full (the
// datagram is dropped and counted, as one lost on the way); a wall clock that jumps (the view runs on a
// steady clock); and an upgrade: while the process before this one holds the port, the node retries each
// kBindRetryInterval, so that the new process serves meanwhile.
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
  net::Endpoint listen;                    // port 0: any
  std::optional<net::Endpoint> advertise;  // where others send; without one, the bound address
  std::vector<net::Endpoint> seeds;
  Options view;  // its seeds are added to the ones above
  std::size_t max_datagram_bytes = kMaxDatagramBytes;
  std::uint64_t random_seed = 0;
};

// Counters of the socket since the start.
struct DatagramStats {
  std::uint64_t datagrams_in = 0;
  std::uint64_t datagrams_out = 0;
  std::uint64_t bytes_in = 0;
  std::uint64_t bytes_out = 0;
  std::uint64_t send_errors = 0;
  std::array<std::uint64_t, kDecodeFailureCount> rejected{};  // by DecodeFailure
};

class Node final : public net::EventLoop::Sink {
 public:
  static constexpr int kMaxDatagramsPerRound = 256;
  static constexpr Micros kBindRetryInterval{250'000};
  static constexpr Micros kMaxTickInterval{60'000'000};
  // Gets each payload that arrives, with the name its sender gives itself.
  using PayloadHandler = std::function<void(const std::string& sender, const std::string& payload)>;

  // Binds and starts, or waits for an address that is in use. `loop` outlives the node.
  // Throws std::system_error where the address cannot be had for another reason.
  Node(net::EventLoop& loop, NodeOptions options);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;
  Node(Node&&) = delete;
  Node& operator=(Node&&) = delete;

  void OnReady(std::uint32_t events) override;

  // Whether this process has the port. Until then another process of this name (the one that is being
  // upgraded) speaks for it.
  bool IsStarted() const { return static_cast<bool>(fd_); }
  // Tells other members that this one leaves.
  void Leave();

  // Sets the servers this member sees fail now; a change is spread.
  void SetFailingServers(std::vector<std::uint64_t> servers);
  // Sets the leases this member holds now; a change is spread.
  void SetLeaseClaims(std::vector<LeaseClaim> claims);

  // Sends another module's message to a member, in a datagram of its own. False: no member of that name is
  // known, the payload is longer than kMaxPayloadBytes, or this process does not have the port yet.
  bool SendPayload(const std::string& member, std::string payload);
  void SetPayloadHandler(PayloadHandler handler) { payload_handler_ = std::move(handler); }

  // Replaced by a new view when the port is first had; not to be kept.
  const MembershipView& View() const { return *view_; }
  const DatagramStats& Stats() const { return stats_; }
  // One line a member: name address zone incarnation state age_ms failing=a,b; this one's first.
  std::string FormatMembers() const;

 private:
  static Micros SteadyNow();
  net::Endpoint AdvertisedEndpoint() const;
  std::unique_ptr<MembershipView> MakeView() const;
  void Start();
  void WaitForPort();
  void RetryBind();
  // False: the socket has no more datagrams.
  bool ReceiveDatagram(Micros now);
  void ProcessDatagram(Micros now, std::string_view bytes, std::size_t full_size);
  void CountRejected(const DecodeError& error);
  void TickView();
  void ProcessOutput();
  void Send(const Datagram& datagram);
  void ScheduleTick();

  net::EventLoop& loop_;
  NodeOptions options_;
  net::Endpoint bound_;  // before fd_: binding fills it
  net::Fd fd_;
  net::EventLoop::Handle handle_ = 0;
  net::Endpoint advertised_;
  std::unique_ptr<MembershipView> view_;
  DatagramStats stats_;
  std::optional<net::TimerQueue::Id> timer_;
  PayloadHandler payload_handler_;
};

}  // namespace tinspan::members
