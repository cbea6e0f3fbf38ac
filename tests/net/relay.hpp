// A UDP relay between the members of a fleet. Each member advertises a port of the relay; the relay forwards
// the datagrams, or drops them on links that the test has cut and at the loss rate that it has set. The
// sender of a datagram is identified by its source port.
#pragma once

#include <atomic>
#include <mutex>
#include <random>

#include "harness.hpp"

/// A UDP relay with its own thread; owns one socket per member. The public functions are thread-safe.
class Relay {
 public:
  explicit Relay(std::uint64_t seed = 1) : random_(seed), thread_([this] { Run(); }) {}
  ~Relay() {
    is_stopping_ = true;
    thread_.Join();
    for (const Member& entry : members_) ::close(entry.fd);
  }
  // Adds a member that is still to be started. Returns the port that it has to advertise.
  int AddMember() {
    const int fd = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0);
    sockaddr_in at = LoopbackAddress(0);
    CHECK_OR_THROW(fd >= 0 && ::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0);
    socklen_t size = sizeof at;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    const std::lock_guard<std::mutex> lock(mutex_);
    members_.push_back({fd, ntohs(at.sin_port), 0});
    return members_.back().advertised_port;
  }
  int AdvertisedPort(int member) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return members_[static_cast<std::size_t>(member)].advertised_port;
  }
  // Sets the port at which the member receives datagrams; to be called again after each restart.
  void SetMemberPort(int member, int port) {
    const std::lock_guard<std::mutex> lock(mutex_);
    members_[static_cast<std::size_t>(member)].real_port = port;
  }
  // Drops all datagrams from one member to another, in this direction only.
  void CutLink(int from, int to) {
    const std::lock_guard<std::mutex> lock(mutex_);
    cut_links_[{from, to}] = true;
  }
  // Partitions the fleet: the members before `first_of_other_side` from the rest.
  void Partition(int first_of_other_side) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const int count = static_cast<int>(members_.size());
    for (int a = 0; a < count; ++a) {
      for (int b = 0; b < count; ++b) {
        if ((a < first_of_other_side) != (b < first_of_other_side)) cut_links_[{a, b}] = true;
      }
    }
  }
  // Restores all cut links.
  void Heal() {
    const std::lock_guard<std::mutex> lock(mutex_);
    cut_links_.clear();
  }
  // Drops this share (0 to 1) of all datagrams at random.
  void SetLossRate(double share) {
    const std::lock_guard<std::mutex> lock(mutex_);
    loss_rate_ = share;
  }
  std::uint64_t Dropped() const { return dropped_; }

 private:
  struct Member {
    int fd;
    int advertised_port;
    int real_port;  // 0: not known yet
  };
  void Run() {
    while (!is_stopping_) {
      std::vector<pollfd> poll_entries;
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        for (const Member& entry : members_) poll_entries.push_back({entry.fd, POLLIN, 0});
      }
      ::poll(poll_entries.data(), poll_entries.size(), 20);
      const std::lock_guard<std::mutex> lock(mutex_);
      for (std::size_t to = 0; to < poll_entries.size(); ++to) {
        if (poll_entries[to].revents != 0) Forward(static_cast<int>(to));
      }
    }
  }
  // Forwards or drops all datagrams that wait at the member's socket.
  void Forward(int to) {
    char block[65536];
    for (;;) {
      sockaddr_in source{};
      socklen_t size = sizeof source;
      const ssize_t received_size = ::recvfrom(members_[static_cast<std::size_t>(to)].fd, block, sizeof block,
                                               0, reinterpret_cast<sockaddr*>(&source), &size);
      if (received_size < 0) return;
      const auto from = std::find_if(members_.begin(), members_.end(), [&](const Member& entry) {
        return entry.real_port == ntohs(source.sin_port);
      });
      const int sender = from == members_.end() ? -1 : static_cast<int>(from - members_.begin());
      const int real_port = members_[static_cast<std::size_t>(to)].real_port;
      if (real_port == 0 || cut_links_.contains({sender, to}) ||
          std::bernoulli_distribution(loss_rate_)(random_)) {
        ++dropped_;
        continue;
      }
      const sockaddr_in at = LoopbackAddress(real_port);
      const int out = from == members_.end() ? members_[static_cast<std::size_t>(to)].fd : from->fd;
      ::sendto(out, block, static_cast<std::size_t>(received_size), 0, reinterpret_cast<const sockaddr*>(&at),
               sizeof at);
    }
  }

  std::mutex mutex_;
  std::vector<Member> members_;
  std::map<std::pair<int, int>, bool> cut_links_;
  double loss_rate_ = 0;
  std::mt19937_64 random_;
  std::atomic<std::uint64_t> dropped_{0};
  std::atomic<bool> is_stopping_{false};
  TestThread thread_;
};
