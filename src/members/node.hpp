// The fleet view on the wire: one UDP socket in the program's loop, the view's timer, its figures and log
// lines. What the view decides comes from members::View; this part only carries datagrams.
//
// Guarded against: datagrams that are bad, foreign, of another version or too large (counted by reason and
// dropped; the log names the first of each reason and then every 1000th, never their bytes), a flood that
// would hold the loop (at most kMostRound datagrams a round, the rest in the next), a socket whose buffer is
// full (the datagram is dropped and counted, as a lost one), a wall clock that jumps (the view runs on a
// clock that never steps), and an upgrade: while the process before this one holds the port, the node waits
// for it and asks again each kBindAgain, so that the new process serves meanwhile.
#pragma once

#include <array>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "members/codec.hpp"
#include "members/view.hpp"
#include "net/endpoint.hpp"
#include "net/event_loop.hpp"
#include "net/fd.hpp"

namespace tinspan::members {

struct NodeOptions {
  std::string fleet;  // datagrams of another fleet are foreign
  std::string name;   // this member's
  std::string zone;
  net::Endpoint listen;                    // port 0: any
  std::optional<net::Endpoint> advertise;  // where others send; the bound address where none
  std::vector<net::Endpoint> seeds;
  Options view;
  std::size_t most_datagram = kMostDatagram;
  std::uint64_t seed = 0;
};

struct Wire {  // counted since the start
  std::uint64_t datagrams_in = 0, datagrams_out = 0, bytes_in = 0, bytes_out = 0, send_errors = 0;
  std::array<std::uint64_t, 5> refused{};  // by Refusal
};

class Node final : public net::EventLoop::Sink {
 public:
  static constexpr int kMostRound = 256;
  static constexpr Micros kBindAgain{250'000};
  static constexpr Micros kMostWait{60'000'000};

  // Throws std::system_error where the address cannot be had, but for one that is in use.
  Node(net::EventLoop& loop, NodeOptions options);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  void OnReady(std::uint32_t events) override;
  void Report(std::vector<std::uint64_t> failing);
  void Leave();

  // For a part that stands on the view (leases): its messages go in datagrams of their own. False: no member
  // of that name is known, or the port is still another's.
  // Whether the port is ours. Before that another process of this name (the one that is upgraded) speaks for
  // it.
  bool Started() const { return static_cast<bool>(fd_); }
  bool Carry(const std::string& to, std::string message);
  // Told each message that was carried here, with its sender's name as that one says it.
  void SetCarried(std::function<void(const std::string& from, const std::string& message)> carried) {
    carried_ = std::move(carried);
  }
  void Claims(std::vector<Claim> duties) { view_.Claims(std::move(duties)); }

  const View& Seen() const { return view_; }
  const Wire& Counted() const { return wire_; }
  // One line a member: name address zone incarnation state age_ms failing=a,b; ours first.
  std::string Lines() const;

 private:
  static Micros Steady();
  net::Endpoint Advertise() const;
  void Start();
  void Wait();
  void Round();
  void Flush();
  void Send(const Datagram& datagram);
  void Arm();
  void Log(const Change& change);

  net::EventLoop& loop_;
  NodeOptions options_;
  net::Endpoint bound_;  // before fd_: binding fills it
  net::Fd fd_;
  net::EventLoop::Handle handle_ = 0;
  net::Endpoint advertised_;
  View view_;
  Wire wire_;
  std::optional<net::TimerQueue::Id> timer_;
  std::function<void(const std::string&, const std::string&)> carried_;
};

}  // namespace tinspan::members
