// A UDP relay of our own between members of a fleet: each member is known to the others by a port here, and
// the relay passes datagrams on, or drops and cuts them as a test says. Who sent one is told by its
// source port.
#pragma once

#include <atomic>
#include <mutex>
#include <random>

#include "harness.hpp"

/// A UDP relay with a thread of its own. It owns one socket for each member.
class Relay {
 public:
  explicit Relay(std::uint64_t seed = 1) : random_(seed), thread_([this] { Run(); }) {}
  ~Relay() {
    stop_ = true;
    thread_.Join();
    for (const Seat& seat : seats_) ::close(seat.fd);
  }
  // A seat for a member that is to come: the port that it advertises.
  int Add() {
    const int fd = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0);
    sockaddr_in at = LoopbackAddress(0);
    CHECK_OR_THROW(fd >= 0 && ::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0);
    socklen_t size = sizeof at;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    const std::lock_guard<std::mutex> lock(mutex_);
    seats_.push_back({fd, ntohs(at.sin_port), 0});
    return seats_.back().port;
  }
  int PortOf(int member) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return seats_[static_cast<std::size_t>(member)].port;
  }
  // The member of that seat takes datagrams at `port`; again after a restart.
  void Seated(int member, int port) {
    const std::lock_guard<std::mutex> lock(mutex_);
    seats_[static_cast<std::size_t>(member)].real = port;
  }
  void Cut(int from, int to) {
    const std::lock_guard<std::mutex> lock(mutex_);
    cut_[{from, to}] = true;
  }
  void Split(int first_of_other_side) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const int count = static_cast<int>(seats_.size());
    for (int a = 0; a < count; ++a) {
      for (int b = 0; b < count; ++b) {
        if ((a < first_of_other_side) != (b < first_of_other_side)) cut_[{a, b}] = true;
      }
    }
  }
  void Heal() {
    const std::lock_guard<std::mutex> lock(mutex_);
    cut_.clear();
  }
  void Lose(double share) {
    const std::lock_guard<std::mutex> lock(mutex_);
    loss_ = share;
  }
  std::uint64_t Dropped() const { return dropped_; }

 private:
  struct Seat {
    int fd;
    int port;
    int real;
  };
  void Run() {
    while (!stop_) {
      std::vector<pollfd> waits;
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        for (const Seat& seat : seats_) waits.push_back({seat.fd, POLLIN, 0});
      }
      ::poll(waits.data(), waits.size(), 20);
      const std::lock_guard<std::mutex> lock(mutex_);
      for (std::size_t to = 0; to < waits.size(); ++to) {
        if (waits[to].revents != 0) Pass(static_cast<int>(to));
      }
    }
  }
  void Pass(int to) {
    char block[65536];
    for (;;) {
      sockaddr_in source{};
      socklen_t size = sizeof source;
      const ssize_t n = ::recvfrom(seats_[static_cast<std::size_t>(to)].fd, block, sizeof block, 0,
                                   reinterpret_cast<sockaddr*>(&source), &size);
      if (n < 0) return;
      const auto from = std::find_if(seats_.begin(), seats_.end(),
                                     [&](const Seat& seat) { return seat.real == ntohs(source.sin_port); });
      const int sender = from == seats_.end() ? -1 : static_cast<int>(from - seats_.begin());
      const int real = seats_[static_cast<std::size_t>(to)].real;
      if (real == 0 || cut_.contains({sender, to}) || std::bernoulli_distribution(loss_)(random_)) {
        ++dropped_;
        continue;
      }
      const sockaddr_in at = LoopbackAddress(real);
      const int out = from == seats_.end() ? seats_[static_cast<std::size_t>(to)].fd : from->fd;
      ::sendto(out, block, static_cast<std::size_t>(n), 0, reinterpret_cast<const sockaddr*>(&at), sizeof at);
    }
  }

  std::mutex mutex_;
  std::vector<Seat> seats_;
  std::map<std::pair<int, int>, bool> cut_;
  double loss_ = 0;
  std::mt19937_64 random_;
  std::atomic<std::uint64_t> dropped_{0};
  std::atomic<bool> stop_{false};
  TestThread thread_;
};
