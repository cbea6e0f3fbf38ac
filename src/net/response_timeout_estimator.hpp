// How long an answer may stay away before its connection is doubted: what answers took lately, with their
// spread, as TCP sets its retransmission time-out (RFC 6298). A fixed time takes every connection for dead
// where all answers are slow alike, as when a whole fleet's copies are fetched anew. No descriptor and no
// clock; it promises a value between `least` and `most`.
#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>

namespace tinspan::net {

class Patience {
 public:
  using Micros = std::chrono::microseconds;
  Patience(Micros least, Micros most) : least_(least), most_(most) {}

  // An answer came after so long, its own sending time not counted. Below 0 counts as 0.
  void Took(Micros time) {
    const double took = static_cast<double>(std::max(time, Micros{0}).count());
    if (!known_) {
      known_ = true;
      mean_ = took;
      spread_ = took / 2;
      return;
    }
    spread_ += kSpreadWeight * (std::abs(took - mean_) - spread_);
    mean_ += kMeanWeight * (took - mean_);
  }
  Micros Now() const {
    if (!known_) return least_;
    return std::clamp(Micros{static_cast<Micros::rep>(mean_ + kSpreads * spread_)}, least_, most_);
  }

 private:
  static constexpr double kMeanWeight = 0.125;  // alpha, beta and K of RFC 6298
  static constexpr double kSpreadWeight = 0.25;
  static constexpr double kSpreads = 4;
  Micros least_;
  Micros most_;
  bool known_ = false;
  double mean_ = 0;    // microseconds
  double spread_ = 0;  // mean deviation, microseconds
};

}  // namespace tinspan::net
