// Measures fleets of different sizes in simulated time, with the same MembershipView as the program and the
// datagram sizes of the codec. Prints one table row per fleet size for docs/design/members.md.
//
//   members_scale [SIZE ...] [--seed N]     default sizes: 16 300 2000, default seed: 1
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

constexpr Micros kStep = 100ms;  // of simulated time between two checks
constexpr Micros kTrafficSpan = 60s;
constexpr Micros kDetectionLimit = 300s;
constexpr Micros kHealLimit = 600s;
constexpr int kLargeFleet = 1'000;  // above this size the run with packet loss is shorter
constexpr double kSecondsPerHour = 3'600;

double Seconds(Micros span) { return static_cast<double>(span.count()) / 1e6; }

// The views' declarations that one member is dead.
struct DeathReports {
  int observers = 0;   // number of views that declared it dead
  Micros first_at{0};  // time of the first declaration
  Micros last_at{0};   // time of the last one
};

// The state of each member in each view, maintained from the reported state changes.
class StateMatrix {
 public:
  StateMatrix(sim::Fleet& fleet, int count)
      : count_(count), states_(static_cast<std::size_t>(count) * static_cast<std::size_t>(count)) {
    for (int member = 0; member < count; ++member) member_by_name_[fleet.NameOf(member)] = member;
    fleet.on_change = [this](int observer, const StateChange& change, Micros now) {
      OnChange(observer, change, now);
    };
  }

  // Starts to count the declarations of this member's death.
  void TrackDeath(int member) {
    tracked_member_ = member;
    death_reports_ = {};
  }
  const DeathReports& Deaths() const { return death_reports_; }
  // Number of pairs of a view and a member that is not alive in it.
  long long NotAliveCount() const { return not_alive_count_; }

 private:
  void OnChange(int observer, const StateChange& change, Micros now) {
    if (change.is_refutation) return;
    const int member = member_by_name_.at(change.name);
    State& state = states_[(static_cast<std::size_t>(observer) * static_cast<std::size_t>(count_)) +
                           static_cast<std::size_t>(member)];
    if (state == change.current) return;
    if (state == State::kAlive) ++not_alive_count_;
    if (change.current == State::kAlive) --not_alive_count_;
    if (member == tracked_member_ && change.current == State::kDead) CountDeath(now);
    state = change.current;
  }
  void CountDeath(Micros now) {
    if (death_reports_.observers == 0) death_reports_.first_at = now;
    ++death_reports_.observers;
    death_reports_.last_at = now;
  }

  int count_;
  std::vector<State> states_;
  std::map<std::string, int> member_by_name_;
  long long not_alive_count_ = 0;
  std::optional<int> tracked_member_;
  DeathReports death_reports_;
};

std::size_t EncodedSize(const Message& message) { return Encode(message, "shop").size(); }

sim::Fleet StartFleet(int count, std::uint64_t seed, sim::Fleet::MessageSizer sizer = {}) {
  sim::Fleet fleet(Options{}, seed, {}, std::move(sizer));
  for (int member = 0; member < count; ++member) fleet.Add("", {0, 1, 2}, true);
  fleet.RunFor(30s);
  return fleet;
}

struct Detection {
  double bytes_per_second = 0;      // sent by one member, without faults
  double datagrams_per_second = 0;  // likewise
  double first_seconds = 0;         // until the first view declares a killed member dead
  double all_seconds = 0;           // until all views have done so; -1: not within the limit
};

// Measures the traffic without faults, then the detection of a crash. Only this measurement counts bytes,
// since encoding every message is slow.
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
  matrix.TrackDeath(victim);
  const Micros killed_at = fleet.Now();
  fleet.Kill(victim);
  while (matrix.Deaths().observers < count - 1 && fleet.Now() - killed_at < kDetectionLimit) {
    fleet.RunFor(kStep);
  }
  result.first_seconds = Seconds(matrix.Deaths().first_at - killed_at);
  const bool is_complete = matrix.Deaths().observers >= count - 1;
  result.all_seconds = is_complete ? Seconds(matrix.Deaths().last_at - killed_at) : -1;
  return result;
}

struct HealingResult {
  long long not_alive_count = 0;  // pairs of a view and a member not alive in it, when the partition ends
  double seconds = 0;             // until all members are alive in all views; -1: not within the limit
};

// Measures the convergence after a partition of that length between the two halves of the fleet.
HealingResult MeasureHealing(int count, std::uint64_t seed, Micros partition_length) {
  sim::Fleet fleet = StartFleet(count, seed);
  StateMatrix matrix(fleet, count);
  std::vector<int> side;
  side.reserve(static_cast<std::size_t>(count));
  for (int member = 0; member < count / 2; ++member) side.push_back(member);
  fleet.Partition(side);
  fleet.RunFor(partition_length);
  HealingResult result;
  result.not_alive_count = matrix.NotAliveCount();
  fleet.UnblockAllLinks();
  const Micros healed_at = fleet.Now();
  while (matrix.NotAliveCount() > 0 && fleet.Now() - healed_at < kHealLimit) fleet.RunFor(kStep);
  result.seconds = matrix.NotAliveCount() > 0 ? -1 : Seconds(fleet.Now() - healed_at);
  std::fprintf(stderr, "%d members: partition healed after %.1f s (%lld pairs not alive)\n", count,
               result.seconds, result.not_alive_count);
  return result;
}

// False deaths and suspicions under packet loss, per member and hour.
struct LossRates {
  double wrongly_dead = 0;
  double suspicions = 0;
};

// Measures a run with 10% packet loss.
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
  std::fprintf(stderr, "%d members: first declared dead after %.1f s, by all after %.1f s, %.0f bytes/s\n",
               count, detection.first_seconds, detection.all_seconds, detection.bytes_per_second);
  const HealingResult short_partition = MeasureHealing(count, seed + 1, 10s);
  const HealingResult long_partition = MeasureHealing(count, seed + 2, 60s);
  const LossRates loss = MeasureLoss(count, seed + 3);
  std::printf("| %d | %.1f | %.1f | %.1f (%lld) | %.1f (%lld) | %.4f | %.2f | %.0f | %.1f |\n", count,
              detection.first_seconds, detection.all_seconds, short_partition.seconds,
              short_partition.not_alive_count, long_partition.seconds, long_partition.not_alive_count,
              loss.wrongly_dead, loss.suspicions, detection.bytes_per_second, detection.datagrams_per_second);
  const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - started_at;
  std::fprintf(stderr, "%d members: measured in %.0f s\n", count, elapsed.count());
  std::fflush(stdout);
}

struct Arguments {
  std::vector<int> sizes;
  std::uint64_t seed = 1;
};

// Exits with status 2 where an argument is not a valid fleet size.
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
      std::fprintf(stderr, "members_scale: expected a fleet size of 2 or more, got '%s'\n", word);
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
