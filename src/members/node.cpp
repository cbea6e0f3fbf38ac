#include "members/node.hpp"

#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/types.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>
#include <variant>
#include <vector>

#include "log/log.hpp"
#include "members/codec.hpp"
#include "members/membership_view.hpp"
#include "members/message.hpp"
#include "members/options.hpp"
#include "members/types.hpp"
#include "net/clock.hpp"
#include "net/endpoint.hpp"
#include "net/event_loop.hpp"
#include "net/fd.hpp"

namespace tinspan::members {
namespace {

constexpr std::size_t kReceiveBufferBytes = 65'536;
// The log reports the first datagram rejected for a reason, and then one in every kRejectionLogPeriod.
constexpr std::uint64_t kRejectionLogPeriod = 1'000;
// Added to the delay of the next tick, so that the timer does not fire before the view's deadline.
constexpr Micros kTimerSlack{500};
constexpr std::int64_t kMicrosPerMilli = 1'000;

net::Endpoint ToEndpoint(Address address) { return {address.ip, address.port}; }
Address ToAddress(net::Endpoint endpoint) { return {endpoint.address, endpoint.port}; }

// Returns a UDP socket bound to `endpoint` and sets `bound` to its actual address, or returns an empty Fd
// where the address is in use. Throws std::system_error for any other failure.
net::Fd Bind(const net::Endpoint& endpoint, net::Endpoint& bound) {
  net::Fd socket(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const sockaddr_in address = endpoint.Socket();
  if (!socket || ::bind(socket.Get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    if (errno == EADDRINUSE) return {};
    throw std::system_error(errno, std::generic_category(),
                            "members: cannot bind a UDP socket to " + endpoint.Text());
  }
  sockaddr_in actual{};
  socklen_t size = sizeof actual;
  ::getsockname(socket.Get(), reinterpret_cast<sockaddr*>(&actual), &size);
  bound = {ntohl(actual.sin_addr.s_addr), ntohs(actual.sin_port)};
  return socket;
}

std::uint64_t WallClockMillis() {
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(net::UnixNow().SinceEpoch());
  return static_cast<std::uint64_t>(milliseconds.count());
}

void LogChange(const StateChange& change) {
  const char* const state = Name(change.current);
  if (change.is_refutation) {
    log::Info("members.refuted", {{"member", change.name}, {"incarnation", change.incarnation}},
              "members: refuted an update about this member, with incarnation {}", change.incarnation);
    return;
  }
  if (!change.previous) {
    log::Info("members.joined",
              {{"member", change.name}, {"state", state}, {"incarnation", change.incarnation}},
              "members: {} joined the view, state {}", change.name, state);
    return;
  }
  const char* const previous = Name(*change.previous);
  log::Info(
      "members.changed",
      {{"member", change.name}, {"was", previous}, {"state", state}, {"incarnation", change.incarnation}},
      "members: {} changed from {} to {} (incarnation {})", change.name, previous, state, change.incarnation);
}

std::string FormatMember(const Member& member, Micros now) {
  const std::int64_t age_millis = (now - member.state_since).count() / kMicrosPerMilli;
  std::string line = member.name;
  line += " " + ToEndpoint(member.address).Text();
  line += " " + (member.zone.empty() ? std::string("-") : member.zone);
  line += " " + std::to_string(member.incarnation);
  line += std::string(" ") + Name(member.state);
  line += " " + std::to_string(std::max<std::int64_t>(age_millis, 0));
  line += " failing=";
  const char* separator = "";
  for (const std::uint64_t server : member.failing_servers) {
    line += separator + std::to_string(server);
    separator = ",";
  }
  return line + "\n";
}

}  // namespace

MembershipNode::MembershipNode(net::EventLoop& loop, NodeOptions options)
    : loop_(loop),
      options_(std::move(options)),
      fd_(Bind(options_.listen, bound_)),
      advertised_(AdvertisedEndpoint()),
      view_(MakeView()) {
  if (fd_) {
    Start();
    return;
  }
  log::Info("members.waiting", {{"address", options_.listen.Text()}},
            "members: {} is in use, possibly by the previous process; retrying until it is free",
            options_.listen.Text());
  WaitForPort();
}

MembershipNode::~MembershipNode() {
  if (timer_) loop_.Timers().Cancel(*timer_);
  if (fd_) loop_.Remove(handle_, fd_.Get());
}

void MembershipNode::OnReady(std::uint32_t) {
  const Micros now = SteadyNow();
  int received = 0;
  while (received < kMaxDatagramsPerRound && ReceiveDatagram(now)) ++received;
  if (received == kMaxDatagramsPerRound)
    loop_.ScheduleAgain(handle_);  // receives the rest in the next round of the loop
  ProcessOutput();
  ScheduleTick();
}

void MembershipNode::Leave() {
  if (!fd_) return;
  view_->Leave(SteadyNow());
  ProcessOutput();
}

void MembershipNode::SetFailingServers(std::vector<std::uint64_t> servers) {
  view_->SetFailingServers(std::move(servers));
}

void MembershipNode::SetLeaseClaims(std::vector<LeaseClaim> claims) {
  view_->SetLeaseClaims(std::move(claims));
}

bool MembershipNode::SendPayload(const std::string& member, std::string payload) {
  const auto found = view_->Members().find(member);
  if (!fd_ || found == view_->Members().end() || payload.size() > kMaxPayloadBytes) return false;
  Datagram datagram;
  datagram.destination = found->second.address;
  datagram.message.from = view_->Self().name;
  datagram.message.from_address = view_->Self().address;
  datagram.message.body = Payload{std::move(payload)};
  Send(datagram);
  return true;
}

std::string MembershipNode::FormatMembers() const {
  const Micros now = SteadyNow();
  const Member& self = view_->Self();
  std::string lines = FormatMember(self, now);
  for (const auto& [name, member] : view_->Members()) {
    if (name != self.name) lines += FormatMember(member, now);
  }
  return lines;
}

Micros MembershipNode::SteadyNow() { return net::Now(); }

net::Endpoint MembershipNode::AdvertisedEndpoint() const {
  if (options_.advertise) return *options_.advertise;
  return fd_ ? bound_ : options_.listen;
}

std::unique_ptr<MembershipView> MembershipNode::MakeView() const {
  Options view_options = options_.view;
  for (const net::Endpoint& seed : options_.seeds) view_options.seeds.push_back(ToAddress(seed));
  MemberUpdate self;
  self.name = options_.name;
  self.address = ToAddress(advertised_);
  self.zone = options_.zone;
  // Higher than the incarnation of any previous process of the same name. Where the clock was set back, a
  // refutation raises it.
  self.incarnation = WallClockMillis();
  return std::make_unique<MembershipView>(std::move(view_options), self, options_.random_seed, SteadyNow());
}

void MembershipNode::Start() {
  handle_ = loop_.Add(fd_.Get(), EPOLLIN, *this);
  log::Info("members.started", {{"address", bound_.Text()}, {"advertised", advertised_.Text()}},
            "members at {} advertised as {}, fleet {}", bound_.Text(), advertised_.Text(), options_.fleet);
  TickView();
}

void MembershipNode::WaitForPort() {
  timer_ = loop_.Timers().Set(net::Now() + kBindRetryInterval, [this](Micros) {
    timer_.reset();
    RetryBind();
  });
}

void MembershipNode::RetryBind() {
  try {
    fd_ = Bind(options_.listen, bound_);
  } catch (const std::system_error& error) {
    log::Warn("members.waiting", {{"address", options_.listen.Text()}}, "{}", error.what());
  }
  if (!fd_) {
    WaitForPort();
    return;
  }
  // A new view has a higher incarnation than the previous process, and does not detect the wait as a pause.
  view_ = MakeView();
  Start();
}

bool MembershipNode::ReceiveDatagram(Micros now) {
  std::array<char, kReceiveBufferBytes> buffer;  // left uninitialized
  // With MSG_TRUNC, recv returns the full size of a datagram that did not fit the buffer.
  ssize_t size = -1;
  do {
    size = ::recv(fd_.Get(), buffer.data(), buffer.size(), MSG_TRUNC);
  } while (size < 0 && errno == EINTR);
  if (size < 0) return false;
  const auto full_size = static_cast<std::size_t>(size);
  ++stats_.datagrams_in;
  stats_.bytes_in += full_size;
  ProcessDatagram(now, std::string_view(buffer.data(), std::min(full_size, buffer.size())), full_size);
  return true;
}

void MembershipNode::ProcessDatagram(Micros now, std::string_view bytes, std::size_t full_size) {
  if (full_size > options_.max_datagram_bytes) {
    CountRejected({DecodeFailure::kOversized, std::to_string(full_size) + " bytes"});
    return;
  }
  const auto message = Decode(bytes, options_.fleet, options_.max_datagram_bytes);
  if (!message) {
    CountRejected(message.error());
    return;
  }
  if (const auto* payload = std::get_if<Payload>(&message->body)) {
    if (payload_handler_) payload_handler_(message->from, payload->bytes);
    return;
  }
  view_->Receive(now, *message);
}

void MembershipNode::CountRejected(const DecodeError& error) {
  const std::uint64_t count = ++stats_.rejected[static_cast<std::size_t>(error.failure)];
  if (count != 1 && count % kRejectionLogPeriod != 0) return;
  const char* const reason = Name(error.failure);
  log::Warn("members.datagram_refused", {{"reason", reason}, {"count", count}},
            "members: datagram rejected ({}: {}), {} for this reason so far", reason, error.detail, count);
}

void MembershipNode::TickView() {
  view_->Tick(SteadyNow());
  ProcessOutput();
  ScheduleTick();
}

void MembershipNode::ProcessOutput() {
  for (const StateChange& change : view_->DrainChanges()) LogChange(change);
  for (const Datagram& datagram : view_->DrainMessages()) Send(datagram);
}

void MembershipNode::Send(const Datagram& datagram) {
  const std::string bytes = Encode(datagram.message, options_.fleet, options_.max_datagram_bytes);
  const sockaddr_in destination = ToEndpoint(datagram.destination).Socket();
  const ssize_t sent = ::sendto(fd_.Get(), bytes.data(), bytes.size(), MSG_DONTWAIT,
                                reinterpret_cast<const sockaddr*>(&destination), sizeof destination);
  if (sent < 0) {
    ++stats_.send_errors;  // full buffer or unreachable port: the protocol handles it as packet loss
    return;
  }
  ++stats_.datagrams_out;
  stats_.bytes_out += bytes.size();
}

void MembershipNode::ScheduleTick() {
  if (timer_) loop_.Timers().Cancel(*timer_);
  // Clamped, since a view without work returns Micros::max(), and adding to that would overflow.
  const Micros wait = std::clamp(view_->NextDeadline() - SteadyNow(), Micros{0}, kMaxTickInterval);
  timer_ = loop_.Timers().Set(net::Now() + wait + kTimerSlack, [this](Micros) {
    timer_.reset();
    TickView();
  });
}

}  // namespace tinspan::members
