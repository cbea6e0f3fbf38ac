// The membership view at size, in simulated time: the very MembershipView that the program runs, its
// datagrams as long as the codec makes them. Prints one row a size for docs/design/members.md.
//
//   members_scale [SIZE ...] [--seed N]     default: 16 300 2000
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "members/codec.hpp"
#include "members/message.hpp"
#include "members/options.hpp"
#include "members/sim.hpp"
#include "members/types.hpp"

namespace {

using namespace std::chrono_literals;
using tinspan::members::Encode;
using tinspan::members::Message;
using tinspan::members::Micros;
using tinspan::members::Options;
using tinspan::members::State;
using tinspan::members::StateChange;
namespace sim = tinspan::members::sim;

constexpr Micros kStep = 100ms;
constexpr Micros kTrafficSpan = 60s;
constexpr Micros kDetectionLimit = 300s;
constexpr Micros kHealLimit = 600s;
constexpr int kLargeFleet = 1'000;  // above it the lossy run is shorter
constexpr double kSecondsPerHour = 3'600;

double Seconds(Micros span) { return static_cast<double>(span.count()) / 1e6; }

// The deaths of one member as the views report them.
struct WatchedDeath {
  int observers = 0;
  Micros first{0};
  Micros last{0};
};

// What each view holds of each member, followed through the changes alone.
class StateMatrix {
 public:
  StateMatrix(sim::Fleet& fleet, int count)
      : count_(count), states_(static_cast<std::size_t>(count) * static_cast<std::size_t>(count)) {
    for (int member = 0; member < count; ++member) member_by_name_[fleet.NameOf(member)] = member;
    fleet.on_change = [this](int observer, const StateChange& change, Micros now) {
      OnChange(observer, change, now);
    };
  }

  void Watch(int member) {
    watched_ = member;
    death_ = {};
  }
  const WatchedDeath& Death() const { return death_; }
  // Pairs of an observer and a member that it does not hold alive.
  long long NotAlive() const { return not_alive_; }

 private:
  void OnChange(int observer, const StateChange& change, Micros now) {
    if (change.is_refutation) return;
    const int member = member_by_name_.at(change.name);
    State& held = states_[(static_cast<std::size_t>(observer) * static_cast<std::size_t>(count_)) +
                          static_cast<std::size_t>(member)];
    if (held == change.current) return;
    if (held == State::kAlive) ++not_alive_;
    if (change.current == State::kAlive) --not_alive_;
    if (member == watched_ && change.current == State::kDead) CountDeath(now);
    held = change.current;
  }
  void CountDeath(Micros now) {
    if (death_.observers == 0) death_.first = now;
    ++death_.observers;
    death_.last = now;
  }

  int count_;
  std::vector<State> states_;
  std::map<std::string, int> member_by_name_;
  long long not_alive_ = 0;
  std::optional<int> watched_;
  WatchedDeath death_;
};

std::size_t EncodedSize(const Message& message) { return Encode(message, "shop").size(); }

sim::Fleet StartFleet(int count, std::uint64_t seed, sim::Fleet::MessageSizer sizer = {}) {
  sim::Fleet fleet(Options{}, seed, {}, std::move(sizer));
  for (int member = 0; member < count; ++member) fleet.Add("", {0, 1, 2}, true);
  fleet.RunFor(30s);
  return fleet;
}

struct Detection {
  double bytes_per_second = 0;  // of one member while all is well
  double datagrams_per_second = 0;
  double first = 0;       // seconds until some view holds a killed member dead
  double everywhere = 0;  // seconds until all do; -1: not within the limit
};

// Traffic while all is well, then the detection of a crash. Bytes are counted here alone: encoding every
// message is slow.
Detection MeasureDetection(int count, std::uint64_t seed) {
  sim::Fleet fleet = StartFleet(count, seed, EncodedSize);
  StateMatrix matrix(fleet, count);
  const std::uint64_t bytes_before = fleet.BytesSent();
  const std::uint64_t datagrams_before = fleet.DatagramsSent();
  fleet.RunFor(kTrafficSpan);
  Detection result;
  const double span = Seconds(kTrafficSpan);
  result.bytes_per_second = static_cast<double>(fleet.BytesSent() - bytes_before) / span / count;
  result.datagrams_per_second = static_cast<double>(fleet.DatagramsSent() - datagrams_before) / span / count;
  const int victim = count / 2;
  matrix.Watch(victim);
  const Micros killed_at = fleet.Now();
  fleet.Kill(victim);
  while (matrix.Death().observers < count - 1 && fleet.Now() - killed_at < kDetectionLimit) {
    fleet.RunFor(kStep);
  }
  result.first = Seconds(matrix.Death().first - killed_at);
  const bool is_everywhere = matrix.Death().observers >= count - 1;
  result.everywhere = is_everywhere ? Seconds(matrix.Death().last - killed_at) : -1;
  return result;
}

struct Healing {
  long long not_alive = 0;  // pairs of a view and a member not alive in it when the partition ends
  double seconds = 0;       // until all are alive in all views; -1: not within the limit
};

Healing MeasureHealing(int count, std::uint64_t seed, Micros partition_length) {
  sim::Fleet fleet = StartFleet(count, seed);
  StateMatrix matrix(fleet, count);
  std::vector<int> side;
  side.reserve(static_cast<std::size_t>(count));
  for (int member = 0; member < count / 2; ++member) side.push_back(member);
  fleet.Partition(side);
  fleet.RunFor(partition_length);
  Healing result;
  result.not_alive = matrix.NotAlive();
  fleet.UnblockAllLinks();
  const Micros healed_at = fleet.Now();
  while (matrix.NotAlive() > 0 && fleet.Now() - healed_at < kHealLimit) fleet.RunFor(kStep);
  result.seconds = matrix.NotAlive() > 0 ? -1 : Seconds(fleet.Now() - healed_at);
  std::fprintf(stderr, "%d: healed %.1f s (%lld)\n", count, result.seconds, result.not_alive);
  return result;
}

struct LossRates {  // a member-hour
  double wrongly_dead = 0;
  double suspicions = 0;
};

LossRates MeasureLoss(int count, std::uint64_t seed) {
  const Micros span = count > kLargeFleet ? 300s : 3'600s;
  sim::Fleet fleet = StartFleet(count, seed);
  fleet.SetLink({0.1, Micros{100}, Micros{2'000}});
  fleet.RunFor(span);
  std::uint64_t declared_dead = 0;
  std::uint64_t suspicions = 0;
  for (int member = 0; member < count; ++member) {
    declared_dead += fleet.ViewOf(member).Stats().declared_dead;
    suspicions += fleet.ViewOf(member).Stats().suspicions;
  }
  const double member_hours = count * Seconds(span) / kSecondsPerHour;
  LossRates rates;
  rates.wrongly_dead = static_cast<double>(declared_dead) / member_hours;
  rates.suspicions = static_cast<double>(suspicions) / member_hours;
  return rates;
}

void Measure(int count, std::uint64_t seed) {
  const auto started_at = std::chrono::steady_clock::now();
  const Detection detection = MeasureDetection(count, seed);
  std::fprintf(stderr, "%d: dead %.1f, everywhere %.1f s, %.0f bytes/s\n", count, detection.first,
               detection.everywhere, detection.bytes_per_second);
  const Healing short_partition = MeasureHealing(count, seed + 1, 10s);
  const Healing long_partition = MeasureHealing(count, seed + 2, 60s);
  const LossRates loss = MeasureLoss(count, seed + 3);
  std::printf("| %d | %.1f | %.1f | %.1f (%lld) | %.1f (%lld) | %.4f | %.2f | %.0f | %.1f |\n", count,
              detection.first, detection.everywhere, short_partition.seconds, short_partition.not_alive,
              long_partition.seconds, long_partition.not_alive, loss.wrongly_dead, loss.suspicions,
              detection.bytes_per_second, detection.datagrams_per_second);
  const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - started_at;
  std::fprintf(stderr, "%d members: %.0f s\n", count, elapsed.count());
  std::fflush(stdout);
}

struct Arguments {
  std::vector<int> sizes;
  std::uint64_t seed = 1;
};

// Ends the process with status 2 where an argument is no size.
Arguments Parse(const std::vector<const char*>& words) {
  constexpr int kDecimal = 10;
  Arguments arguments;
  for (std::size_t index = 0; index < words.size(); ++index) {
    const char* const word = words[index];
    if (std::strcmp(word, "--seed") == 0 && index + 1 < words.size()) {
      arguments.seed = std::strtoull(words[++index], nullptr, kDecimal);
      continue;
    }
    const int size = static_cast<int>(std::strtol(word, nullptr, kDecimal));
    if (size < 2) {
      std::fprintf(stderr, "members_scale: '%s' is no size of 2 or more\n", word);
      std::exit(2);
    }
    arguments.sizes.push_back(size);
  }
  if (arguments.sizes.empty()) arguments.sizes = {16, 300, 2'000};
  return arguments;
}

}  // namespace

int main(int argc, char** argv) {
  const Arguments arguments = Parse({argv + 1, argv + argc});
  std::printf(
      "| members | first says dead, s | dead everywhere, s | 10 s partition healed, s (pairs not alive) | 60 "
      "s, s | "
      "wrongly dead a member-hour at 10%% loss | suspicions a member-hour | bytes/s a member | datagrams/s "
      "|\n"
      "|---|---|---|---|---|---|---|---|---|\n");
  for (const int size : arguments.sizes) Measure(size, arguments.seed);
  return 0;
}
