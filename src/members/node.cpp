#include "members/node.hpp"

#include <sys/epoll.h>
#include <sys/socket.h>

#include <cerrno>
#include <system_error>

#include "log/log.hpp"

namespace tinspan::members {
namespace {

net::Endpoint ToEndpoint(Address address) { return {address.ip, address.port}; }
Address ToAddress(net::Endpoint endpoint) { return {endpoint.address, endpoint.port}; }

net::Fd Bind(const net::Endpoint& at, net::Endpoint& bound) {
  net::Fd fd(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const sockaddr_in address = at.Socket();
  if (!fd || ::bind(fd.Get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    if (errno == EADDRINUSE) return {};
    throw std::system_error(errno, std::generic_category(), "members: binding " + at.Text());
  }
  sockaddr_in got{};
  socklen_t size = sizeof got;
  ::getsockname(fd.Get(), reinterpret_cast<sockaddr*>(&got), &size);
  bound = {ntohl(got.sin_addr.s_addr), ntohs(got.sin_port)};
  return fd;
}

Options WithSeeds(Options view, const std::vector<net::Endpoint>& seeds) {
  for (const net::Endpoint& seed : seeds) view.seeds.push_back(ToAddress(seed));
  return view;
}

Update Self(const NodeOptions& options, net::Endpoint advertised) {
  Update self;
  self.name = options.name;
  self.address = ToAddress(advertised);
  self.zone = options.zone;
  // Newer than all that was said of a process before this one under the same name (a clock set back is
  // mended by refutation).
  self.incarnation = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                                    std::chrono::system_clock::now().time_since_epoch())
                                                    .count());
  return self;
}

}  // namespace

Micros Node::Steady() {
  return std::chrono::duration_cast<Micros>(std::chrono::steady_clock::now().time_since_epoch());
}

Node::Node(net::EventLoop& loop, NodeOptions options)
    : loop_(loop),
      options_(std::move(options)),
      fd_(Bind(options_.listen, bound_)),
      advertised_(Advertise()),
      view_(WithSeeds(options_.view, options_.seeds), Self(options_, advertised_), options_.seed, Steady()) {
  if (fd_) {
    Start();
    return;
  }
  log::Info("members.waiting", {{"address", options_.listen.Text()}},
            "members: {} is in use (by the process before this one?), waiting for it",
            options_.listen.Text());
  Wait();
}

net::Endpoint Node::Advertise() const {
  if (options_.advertise) return *options_.advertise;
  return fd_ ? bound_ : options_.listen;
}

void Node::Start() {
  handle_ = loop_.Add(fd_.Get(), EPOLLIN, *this);
  log::Info("members.started", {{"address", bound_.Text()}, {"advertised", advertised_.Text()}},
            "members at {} advertised as {}, fleet {}", bound_.Text(), advertised_.Text(), options_.fleet);
  Round();
}

void Node::Wait() {
  timer_ = loop_.Timers().Set(net::Now() + kBindAgain, [this](Micros) {
    timer_.reset();
    try {
      fd_ = Bind(options_.listen, bound_);
    } catch (const std::system_error& error) {
      log::Warn("members.waiting", {{"address", options_.listen.Text()}}, "{}", error.what());
    }
    if (!fd_) return Wait();
    // Begins now: newer than the one before us, and without its pause.
    view_ =
        View(WithSeeds(options_.view, options_.seeds), Self(options_, advertised_), options_.seed, Steady());
    Start();
  });
}

Node::~Node() {
  if (timer_) loop_.Timers().Cancel(*timer_);
  if (fd_) loop_.Remove(handle_, fd_.Get());
}

void Node::OnReady(std::uint32_t) {
  std::array<char, 65536> block;
  int taken = 0;
  const Micros now = Steady();
  for (; taken < kMostRound; ++taken) {
    const ssize_t n = ::recv(fd_.Get(), block.data(), block.size(), MSG_TRUNC);
    if (n < 0) {
      if (errno == EINTR) continue;
      break;  // EAGAIN: dry
    }
    ++wire_.datagrams_in;
    wire_.bytes_in += static_cast<std::uint64_t>(n);
    const std::size_t size = std::min(static_cast<std::size_t>(n), block.size());
    // MSG_TRUNC tells the whole size of one that did not fit: it is oversized all the same.
    const Decoded decoded =
        static_cast<std::size_t>(n) > options_.most_datagram
            ? Decoded{std::nullopt, Refusal::kOversized, std::to_string(n) + " bytes"}
            : Decode(std::string_view(block.data(), size), options_.fleet, options_.most_datagram);
    if (!decoded.message) {
      const std::uint64_t count = ++wire_.refused[static_cast<std::size_t>(decoded.refusal)];
      if (count == 1 || count % 1000 == 0) {
        log::Warn("members.datagram_refused", {{"reason", Name(decoded.refusal)}, {"count", count}},
                  "members: a datagram refused ({}: {}), {} so far", Name(decoded.refusal), decoded.detail,
                  count);
      }
      continue;
    }
    if (decoded.message->kind == Kind::kCarried) {
      if (carried_) carried_(decoded.message->from, decoded.message->carried);
      continue;
    }
    view_.Receive(now, *decoded.message);
  }
  if (taken == kMostRound) loop_.ScheduleAgain(handle_);  // the rest in the next round: the loop is not held
  Flush();
  Arm();
}

void Node::Round() {
  view_.Tick(Steady());
  Flush();
  Arm();
}

void Node::Flush() {
  for (const Change& change : view_.TakeChanges()) Log(change);
  for (const Datagram& datagram : view_.TakeOut()) Send(datagram);
}

void Node::Send(const Datagram& datagram) {
  const std::string bytes = Encode(datagram.message, options_.fleet, options_.most_datagram);
  const sockaddr_in to = ToEndpoint(datagram.to).Socket();
  const ssize_t n = ::sendto(fd_.Get(), bytes.data(), bytes.size(), MSG_DONTWAIT,
                             reinterpret_cast<const sockaddr*>(&to), sizeof to);
  if (n < 0) {
    ++wire_.send_errors;  // a full buffer or an unreachable port: as a datagram lost on the way
    return;
  }
  ++wire_.datagrams_out;
  wire_.bytes_out += bytes.size();
}

bool Node::Carry(const std::string& to, std::string message) {
  const auto found = view_.Members().find(to);
  if (!fd_ || found == view_.Members().end() || message.size() > kMostCarried) return false;
  Datagram datagram;
  datagram.to = found->second.address;
  datagram.message.kind = Kind::kCarried;
  datagram.message.from = view_.Self().name;
  datagram.message.from_address = view_.Self().address;
  datagram.message.carried = std::move(message);
  Send(datagram);
  return true;
}

void Node::Arm() {
  if (timer_) loop_.Timers().Cancel(*timer_);
  // A view that has nothing due (one that leaves) names the end of time: adding to that would overflow.
  const Micros wait = std::clamp(view_.NextDue() - Steady(), Micros{0}, kMostWait);
  timer_ = loop_.Timers().Set(net::Now() + wait + Micros{500}, [this](Micros) {
    timer_.reset();
    Round();
  });
}

void Node::Log(const Change& change) {
  const char* const now = Name(change.now);
  if (change.refuted) {
    log::Info("members.refuted", {{"member", change.name}, {"incarnation", change.incarnation}},
              "members: said to be suspect or dead, answered with incarnation {}", change.incarnation);
  } else if (!change.was) {
    log::Info("members.joined",
              {{"member", change.name}, {"state", now}, {"incarnation", change.incarnation}},
              "members: {} is new, {}", change.name, now);
  } else {
    log::Info("members.changed",
              {{"member", change.name},
               {"was", Name(*change.was)},
               {"state", now},
               {"incarnation", change.incarnation}},
              "members: {} {} -> {} (incarnation {})", change.name, Name(*change.was), now,
              change.incarnation);
  }
}

void Node::Report(std::vector<std::uint64_t> failing) { view_.Report(std::move(failing)); }

void Node::Leave() {
  if (!fd_) return;
  view_.Leave(Steady());
  Flush();
}

std::string Node::Lines() const {
  const Micros now = Steady();
  std::string out;
  const auto line = [&](const Member& member) {
    out += member.name + " " + ToEndpoint(member.address).Text() + " " +
           (member.zone.empty() ? "-" : member.zone) + " " + std::to_string(member.incarnation) + " " +
           Name(member.state) + " " +
           std::to_string(std::max<std::int64_t>((now - member.since).count() / 1000, 0)) + " failing=";
    for (std::size_t i = 0; i < member.failing.size(); ++i) {
      out += (i > 0 ? "," : "") + std::to_string(member.failing[i]);
    }
    out += "\n";
  };
  line(view_.Self());
  for (const auto& [name, member] : view_.Members()) {
    if (name != view_.Self().name) line(member);
  }
  return out;
}

}  // namespace tinspan::members
