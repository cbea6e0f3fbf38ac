// The membership view at size, in simulated time: the very MembershipView that the program runs, its datagrams as long as
// the codec makes them. Prints one row a size for docs/design/members.md.
//
//   members_scale [SIZE ...] [--seed N]     default: 16 300 2000
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <vector>

#include "members/codec.hpp"
#include "members/sim.hpp"

namespace {

using namespace std::chrono_literals;
using namespace tinspan::members;

// What each view holds of each member, kept from the changes alone; counts the pairs that are not as wanted.
class Matrix {
 public:
  Matrix(sim::Fleet& fleet, int count) : count_(count), states_(static_cast<std::size_t>(count) * count) {
    for (int i = 0; i < count; ++i) index_[fleet.NameOf(i)] = i;
    fleet.on_change = [this](int observer, const StateChange& change, Micros now) {
      if (change.is_refutation) return;
      const int subject = index_.at(change.name);
      State& held = states_[static_cast<std::size_t>(observer) * count_ + subject];
      if (held == change.current) return;
      not_alive_ += (held == State::kAlive) - (change.current == State::kAlive);
      if (subject == watched_) {
        if (change.current == State::kSuspect && first_suspect == Micros{0}) first_suspect = now;
        if (change.current == State::kDead) {
          if (first_dead == Micros{0}) first_dead = now;
          ++dead_of_watched;
          last_dead = now;
        }
      }
      if (change.current == State::kDead) ++deaths;
      held = change.current;
    };
  }
  void Watch(int subject) {
    watched_ = subject;
    dead_of_watched = 0;
    first_suspect = first_dead = last_dead = Micros{0};
  }
  long long NotAlive() const { return not_alive_; }
  int dead_of_watched = 0;
  Micros first_suspect{0}, first_dead{0}, last_dead{0};
  std::uint64_t deaths = 0;

 private:
  int count_;
  std::vector<State> states_;
  std::map<std::string, int> index_;
  long long not_alive_ = 0;
  int watched_ = -1;
};

double Seconds(Micros span) { return static_cast<double>(span.count()) / 1e6; }

std::size_t EncodedSize(const Message& message) { return Encode(message, "shop").size(); }

sim::Fleet Started(int count, std::uint64_t seed, sim::Fleet::MessageSizer sizer = {}) {
  sim::Fleet fleet(Options{}, seed, {}, std::move(sizer));
  for (int i = 0; i < count; ++i) fleet.Add("", {0, 1, 2}, true);
  fleet.RunFor(30s);
  return fleet;
}

double Partition(int count, std::uint64_t seed, Micros length, long long& dead) {
  sim::Fleet fleet = Started(count, seed);
  Matrix matrix(fleet, count);
  std::vector<int> side;
  for (int i = 0; i < count / 2; ++i) side.push_back(i);
  fleet.Partition(side);
  fleet.RunFor(length);
  dead = matrix.NotAlive();
  fleet.UnblockAllLinks();
  const Micros healed = fleet.Now();
  while (matrix.NotAlive() > 0 && fleet.Now() - healed < 600s) fleet.RunFor(100ms);
  return matrix.NotAlive() > 0 ? -1 : Seconds(fleet.Now() - healed);
}

void Measure(int count, std::uint64_t seed) {
  const auto began = std::chrono::steady_clock::now();
  double bytes = 0, datagrams = 0, detect = 0, everywhere = 0;
  {
    sim::Fleet fleet = Started(count, seed, EncodedSize);  // bytes are counted here alone: encoding all is slow
    Matrix matrix(fleet, count);
    const std::uint64_t before = fleet.BytesSent(), sent = fleet.DatagramsSent();
    fleet.RunFor(60s);
    bytes = static_cast<double>(fleet.BytesSent() - before) / 60 / count;
    datagrams = static_cast<double>(fleet.DatagramsSent() - sent) / 60 / count;
    const int victim = count / 2;
    matrix.Watch(victim);
    const Micros killed = fleet.Now();
    fleet.Kill(victim);
    while (matrix.dead_of_watched < count - 1 && fleet.Now() - killed < 300s) fleet.RunFor(100ms);
    detect = Seconds(matrix.first_dead - killed);
    everywhere = matrix.dead_of_watched < count - 1 ? -1 : Seconds(matrix.last_dead - killed);
  }
  std::fprintf(stderr, "%d: dead %.1f, everywhere %.1f s, %.0f bytes/s\n", count, detect, everywhere, bytes);
  long long dead10 = 0, dead60 = 0;
  const double heal10 = Partition(count, seed + 1, 10s, dead10);
  std::fprintf(stderr, "%d: healed %.1f s (%lld)\n", count, heal10, dead10);
  const double heal60 = Partition(count, seed + 2, 60s, dead60);
  std::fprintf(stderr, "%d: healed %.1f s (%lld)\n", count, heal60, dead60);
  double wrong = 0;
  std::uint64_t suspicions = 0;
  const Micros span = count > 1000 ? 300s : 3600s;
  {
    sim::Fleet fleet = Started(count, seed + 3);
    fleet.SetLink({0.1, Micros{100}, Micros{2'000}});
    Matrix matrix(fleet, count);
    fleet.RunFor(span);
    std::uint64_t declared = 0;
    for (int i = 0; i < count; ++i) {
      declared += fleet.ViewOf(i).stats().declared_dead;
      suspicions += fleet.ViewOf(i).stats().suspicions;
    }
    wrong = static_cast<double>(declared) / (count * Seconds(span) / 3600);
  }
  std::printf("| %d | %.1f | %.1f | %.1f (%lld) | %.1f (%lld) | %.4f | %.2f | %.0f | %.1f |\n", count, detect,
              everywhere, heal10, dead10, heal60, dead60, wrong,
              static_cast<double>(suspicions) / (count * Seconds(span) / 3600), bytes, datagrams);
  std::fprintf(stderr, "%d members: %.0f s\n", count,
               std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count());
  std::fflush(stdout);
}

}  // namespace

int main(int argc, char** argv) {
  std::vector<int> sizes;
  std::uint64_t seed = 1;
  for (int i = 1; i < argc; ++i) {
    if (std::strcmp(argv[i], "--seed") == 0 && i + 1 < argc) {
      seed = std::strtoull(argv[++i], nullptr, 10);
    } else {
      const int size = std::atoi(argv[i]);
      if (size < 2) {
        std::fprintf(stderr, "members_scale: '%s' is no size of 2 or more\n", argv[i]);
        return 2;
      }
      sizes.push_back(size);
    }
  }
  if (sizes.empty()) sizes = {16, 300, 2'000};
  std::printf(
      "| members | first says dead, s | dead everywhere, s | 10 s partition healed, s (pairs not alive) | 60 "
      "s, s | "
      "wrongly dead a member-hour at 10%% loss | suspicions a member-hour | bytes/s a member | datagrams/s "
      "|\n"
      "|---|---|---|---|---|---|---|---|---|\n");
  for (const int size : sizes) Measure(size, seed);
  return 0;
}
