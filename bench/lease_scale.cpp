// Measures leases in fleets of different sizes in simulated time, with the LeaseNode and View of the program.
// There are five voters, and each member selects three candidates from its own view of the fleet. Prints one
// table row per size, for docs/design/leases.md.
//
//   lease_scale [SIZE ...] [--seed N] [--kills N]     default: sizes 300 and 2000, seed 1, 5 kills
#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <optional>
#include <string>
#include <vector>

#include "lease/candidate_selection.hpp"
#include "lease/sim.hpp"
#include "members/sim.hpp"

namespace {

using namespace std::chrono_literals;
using Micros = std::chrono::microseconds;
namespace lease = tinspan::lease;
namespace members = tinspan::members;

constexpr std::size_t kCandidateCount = 3;
constexpr std::size_t kVoterCount = 5;
constexpr int kMinSize = 5;
constexpr Micros kPublishInterval = 5s;
constexpr Micros kStep = 100ms;
constexpr Micros kSettleTime = 60s;
constexpr Micros kMeasuredTime = 60s;
constexpr Micros kTimeBetweenKills = 30s;
constexpr Micros kMaxTakeoverTime = 120s;
// The interval between endpoint list changes, as during a release. A watcher polls two lists per change.
constexpr Micros kListChangeInterval = 10s;
constexpr std::uint64_t kPollsPerChange = 2;

double Seconds(Micros span) { return static_cast<double>(span.count()) / 1e6; }

// Runs the simulations of the fleet view and of the leases in alternating steps. Each member's view
// determines whether the member is a candidate.
class Simulation {
 public:
  Simulation(int member_count, std::uint64_t seed)
      : views_(members::Options{}, seed),
        leases_(lease::LeaseOptions{}, kVoterCount, kPublishInterval, seed + 1),
        has_view_changed_(member_count, true) {
    for (int i = 0; i < member_count; ++i) {
      views_.Add("", {0, 1, 2}, true);
      leases_.Add();
    }
    views_.on_change = [this](int observer, const members::StateChange&, Micros) {
      has_view_changed_[observer] = true;
    };
  }

  void RunFor(Micros span) {
    for (Micros done{0}; done < span; done += kStep) {
      views_.RunFor(kStep);
      UpdateCandidacies();
      leases_.RunFor(kStep);
      CountPolls();
    }
  }

  void Kill(int member) {
    views_.Kill(member);
    leases_.Kill(member);
  }

  const lease::sim::Fleet& Leases() const { return leases_; }

  // The number of polls for endpoint lists if only the holder watches for changes, and if every member does.
  // A new watcher polls all lists.
  std::uint64_t polls_if_holder_watches = 0;
  std::uint64_t polls_if_all_watch = 0;
  // The total time during which no member held the lease.
  Micros time_without_holder{0};

 private:
  void UpdateCandidacies() {
    for (std::size_t i = 0; i < has_view_changed_.size(); ++i) {
      const int member = static_cast<int>(i);
      if (!has_view_changed_[i] || !leases_.IsRunning(member)) continue;
      has_view_changed_[i] = false;
      const auto selected =
          lease::SelectCandidates(lease::sim::Fleet::kLease, AliveInViewOf(member), kCandidateCount);
      const std::string name = leases_.NameOf(member);
      leases_.SetCandidacy(member, std::find(selected.begin(), selected.end(), name) != selected.end());
    }
  }

  std::vector<std::string> AliveInViewOf(int member) const {
    std::vector<std::string> alive;
    for (const auto& [name, seen] : views_.ViewOf(member).Members()) {
      if (seen.state == members::State::kAlive) alive.push_back(name);
    }
    return alive;
  }

  std::uint64_t RunningCount() const {
    std::uint64_t running = 0;
    for (std::size_t i = 0; i < has_view_changed_.size(); ++i) {
      if (leases_.IsRunning(static_cast<int>(i))) ++running;
    }
    return running;
  }

  void CountPolls() {
    const auto holder = leases_.Holder();
    if (!holder) {
      time_without_holder += kStep;
    } else if (holder != watcher_) {
      polls_if_holder_watches += kPollsPerChange;
      watcher_ = holder;
    }
    const std::int64_t step = leases_.Now() / kStep;
    if (step % (kListChangeInterval / kStep) != 0) return;
    polls_if_holder_watches += holder ? kPollsPerChange : 0;
    polls_if_all_watch += kPollsPerChange * RunningCount();
  }

  members::sim::Fleet views_;
  lease::sim::Fleet leases_;
  std::vector<bool> has_view_changed_;
  std::optional<int> watcher_;
};

// Kills the holder `kills` times. Returns the sorted times in seconds until the lease was held again.
std::vector<double> MeasureTakeovers(Simulation& simulation, int kills) {
  const lease::sim::Fleet& leases = simulation.Leases();
  std::vector<double> takeovers;
  for (int i = 0; i < kills; ++i) {
    const auto holder = leases.Holder();
    if (!holder) break;
    const Micros killed_at = leases.Now();
    simulation.Kill(*holder);
    while (!leases.Holder() && leases.Now() - killed_at < kMaxTakeoverTime) simulation.RunFor(kStep);
    takeovers.push_back(Seconds(leases.Now() - killed_at));
    simulation.RunFor(kTimeBetweenKills);
  }
  std::sort(takeovers.begin(), takeovers.end());
  return takeovers;
}

void Measure(int member_count, std::uint64_t seed, int kills) {
  Simulation simulation(member_count, seed);
  const lease::sim::Fleet& leases = simulation.Leases();
  simulation.RunFor(kSettleTime);
  if (!leases.Holder()) {
    std::printf("| %d | nobody holds after 60 s |\n", member_count);
    return;
  }
  simulation.polls_if_holder_watches = 0;
  simulation.polls_if_all_watch = 0;
  simulation.time_without_holder = Micros{0};
  const std::uint64_t messages_before = leases.MessageCount();
  const Micros started_at = leases.Now();
  simulation.RunFor(kMeasuredTime);
  const double message_rate =
      static_cast<double>(leases.MessageCount() - messages_before) / Seconds(kMeasuredTime);
  const std::vector<double> takeovers = MeasureTakeovers(simulation, kills);
  const double minutes = Seconds(leases.Now() - started_at) / 60;
  const auto violation = leases.RecordedHistory().FindViolation();
  std::printf("| %d | %.1f | %.4f | %.1f, %.1f, %.1f | %.0f | %.1f | %.1f | %s |\n", member_count,
              message_rate, message_rate / member_count, takeovers.front(), takeovers[takeovers.size() / 2],
              takeovers.back(), static_cast<double>(simulation.polls_if_all_watch) / minutes,
              static_cast<double>(simulation.polls_if_holder_watches) / minutes,
              100 * Seconds(simulation.time_without_holder) / (60 * minutes),
              violation ? violation->c_str() : "kept");
  std::fflush(stdout);
}

struct Arguments {
  std::vector<int> sizes;
  std::uint64_t seed = 1;
  int kills = 5;
};

// Returns nullopt and prints the reason if the command line is not valid.
std::optional<Arguments> ParseArguments(const std::vector<std::string>& args) {
  Arguments arguments;
  for (std::size_t i = 0; i < args.size(); ++i) {
    const bool has_value = i + 1 < args.size();
    if (args[i] == "--seed" && has_value) {
      arguments.seed = std::strtoull(args[++i].c_str(), nullptr, 10);
    } else if (args[i] == "--kills" && has_value) {
      arguments.kills = std::max(std::atoi(args[++i].c_str()), 1);
    } else {
      const int size = std::atoi(args[i].c_str());
      if (size < kMinSize) {
        std::fprintf(stderr, "lease_scale: invalid size '%s': expected an integer of at least %d\n",
                     args[i].c_str(), kMinSize);
        return std::nullopt;
      }
      arguments.sizes.push_back(size);
    }
  }
  if (arguments.sizes.empty()) arguments.sizes = {300, 2'000};
  return arguments;
}

}  // namespace

int main(int argc, char** argv) {
  const auto arguments = ParseArguments(std::vector<std::string>(argv + 1, argv + argc));
  if (!arguments) return 2;
  std::printf(
      "| members | messages/s, whole fleet | a member | taken up after a kill, s (least, median, most) | "
      "calls for "
      "lists a minute, all watching | one watching | %% of time unwatched | history |\n"
      "|---|---|---|---|---|---|---|---|\n");
  for (const int size : arguments->sizes) Measure(size, arguments->seed, arguments->kills);
  return 0;
}
