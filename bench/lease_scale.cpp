// Leases at size, in simulated time: the very Peer and View that the program runs. Five voters, three
// candidates named by each member's own view of the fleet. Prints one row a size for docs/design/leases.md.
//
//   lease_scale [SIZE ...] [--seed N] [--kills N]     default: 300 2000, 5 kills
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <vector>

#include "lease/sim.hpp"
#include "members/sim.hpp"

namespace {

using namespace std::chrono_literals;
using Micros = std::chrono::microseconds;
namespace lease = tinspan::lease;
namespace members = tinspan::members;

constexpr std::size_t kCandidates = 3;

double Seconds(Micros span) { return static_cast<double>(span.count()) / 1e6; }

// Both simulations side by side, in steps; a member's view says whether it tries for the duty.
class Both {
 public:
  Both(int count, std::uint64_t seed)
      : view_(members::Options{}, seed), lease_(lease::Options{}, 5, 5s, seed + 1), stale_(count, true) {
    for (int i = 0; i < count; ++i) {
      view_.Add("", {0, 1, 2}, true);
      lease_.Add();
    }
    view_.on_change = [this](int observer, const members::StateChange&, Micros) { stale_[observer] = true; };
  }
  void RunFor(Micros span) {
    for (Micros done{0}; done < span; done += 100ms) {
      view_.RunFor(100ms);
      for (std::size_t i = 0; i < stale_.size(); ++i) {
        const int member = static_cast<int>(i);
        if (!stale_[i] || !lease_.Running(member)) continue;
        stale_[i] = false;
        std::vector<std::string> alive;
        for (const auto& [name, seen] : view_.ViewOf(member).Members()) {
          if (seen.state == members::State::kAlive) alive.push_back(name);
        }
        const auto chosen = lease::Candidates(lease::sim::Fleet::kDuty, alive, kCandidates);
        lease_.Want(member, std::find(chosen.begin(), chosen.end(), lease_.NameOf(member)) != chosen.end());
      }
      lease_.RunFor(100ms);
      Watch();
    }
  }
  void Kill(int member) {
    view_.Kill(member);
    lease_.Kill(member);
  }
  const lease::sim::Fleet& Lease() const { return lease_; }
  int Running() const {
    int running = 0;
    for (std::size_t i = 0; i < stale_.size(); ++i) running += lease_.Running(static_cast<int>(i));
    return running;
  }

  // Calls for lists: each watcher waits 30 s for a change and asks health and catalogue at each (a change
  // each 10 s, as in a release); a new watcher asks both.
  std::uint64_t calls_one = 0, calls_all = 0;
  Micros unwatched{0};

 private:
  void Watch() {
    const int holder = lease_.Holder();
    const std::int64_t tick = lease_.Now() / 100ms;
    if (holder < 0) {
      unwatched += 100ms;
    } else if (holder != watcher_) {
      calls_one += 2;
      watcher_ = holder;
    }
    if (tick % 100 == 0) {
      calls_one += holder < 0 ? 0 : 2;
      calls_all += 2 * static_cast<std::uint64_t>(Running());
    }
  }
  members::sim::Fleet view_;
  lease::sim::Fleet lease_;
  std::vector<bool> stale_;
  int watcher_ = -1;
};

void Measure(int count, std::uint64_t seed, int kills) {
  Both both(count, seed);
  both.RunFor(60s);
  if (both.Lease().Holder() < 0) {
    std::printf("| %d | nobody holds after 60 s |\n", count);
    return;
  }
  both.calls_one = both.calls_all = 0;
  both.unwatched = Micros{0};
  const std::uint64_t before = both.Lease().Messages();
  const Micros began = both.Lease().Now();
  both.RunFor(60s);
  const double messages = static_cast<double>(both.Lease().Messages() - before) / 60;
  std::vector<double> taken;
  for (int i = 0; i < kills; ++i) {
    const int holder = both.Lease().Holder();
    if (holder < 0) break;
    const Micros killed = both.Lease().Now();
    both.Kill(holder);
    while (both.Lease().Holder() < 0 && both.Lease().Now() - killed < 120s) both.RunFor(100ms);
    taken.push_back(Seconds(both.Lease().Now() - killed));
    both.RunFor(30s);
  }
  std::sort(taken.begin(), taken.end());
  const double minutes = Seconds(both.Lease().Now() - began) / 60;
  const auto broken = both.Lease().Seen().Broken();
  std::printf("| %d | %.1f | %.4f | %.1f, %.1f, %.1f | %.0f | %.1f | %.1f | %s |\n", count, messages,
              messages / count, taken.front(), taken[taken.size() / 2], taken.back(),
              static_cast<double>(both.calls_all) / minutes, static_cast<double>(both.calls_one) / minutes,
              100 * Seconds(both.unwatched) / (60 * minutes), broken ? broken->c_str() : "kept");
  std::fflush(stdout);
}

}  // namespace

int main(int argc, char** argv) {
  std::vector<int> sizes;
  std::uint64_t seed = 1;
  int kills = 5;
  for (int i = 1; i < argc; ++i) {
    if (std::strcmp(argv[i], "--seed") == 0 && i + 1 < argc) {
      seed = std::strtoull(argv[++i], nullptr, 10);
    } else if (std::strcmp(argv[i], "--kills") == 0 && i + 1 < argc) {
      kills = std::max(std::atoi(argv[++i]), 1);
    } else {
      const int size = std::atoi(argv[i]);
      if (size < 5) {
        std::fprintf(stderr, "lease_scale: '%s' is no size of 5 or more\n", argv[i]);
        return 2;
      }
      sizes.push_back(size);
    }
  }
  if (sizes.empty()) sizes = {300, 2'000};
  std::printf(
      "| members | messages/s, whole fleet | a member | taken up after a kill, s (least, median, most) | "
      "calls for "
      "lists a minute, all watching | one watching | %% of time unwatched | history |\n"
      "|---|---|---|---|---|---|---|---|\n");
  for (const int size : sizes) Measure(size, seed, kills);
  return 0;
}
