// What this doorman has seen fail lately, for the fleet view: servers whose connection broke or was given up
// with requests open. Off (and empty) until it is told where to report. Guarded against: a list that grows
// with every server that ever failed (entries older than kKeep go at each report).
#pragma once

#include <functional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "net/clock.hpp"

namespace tinspan::front {

class UpstreamFailureLog {
 public:
  static constexpr net::Micros kKeep{10'000'000}, kEvery{1'000'000};
  using Told = std::function<void(std::vector<std::uint64_t>)>;

  void ReportTo(Told told) { told_ = std::move(told); }
  void Note(net::Micros now, std::uint64_t server) {
    if (told_) failed_[server] = now;
  }
  // Once a round; tells at most once in kEvery.
  void EndRound(net::Micros now) {
    if (!told_ || now - reported_ < kEvery) return;
    reported_ = now;
    std::erase_if(failed_, [now](const auto& one) { return now - one.second > kKeep; });
    std::vector<std::uint64_t> servers;
    for (const auto& [server, at] : failed_) servers.push_back(server);
    told_(std::move(servers));
  }

 private:
  Told told_;
  std::unordered_map<std::uint64_t, net::Micros> failed_;  // server: when it last failed
  net::Micros reported_{0};
};

}  // namespace tinspan::front
