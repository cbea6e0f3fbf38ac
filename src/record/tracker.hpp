// From what the core was told and what it ordered to what a flight recorder writes down. Pure: clocks and the
// random seed are passed in, records come out in the order of the rounds.
//
// Promises: each request that came is counted once in `came` and once in `ended`, with one verdict; each
// attempt that was ordered out is counted once in `attempts`; worth in time follows from these counts exactly
// (record.proto, Window). Memory is bounded by the requests that the core holds open and by the servers that
// are listed.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/request_coordinator.hpp"
#include "record/record.pb.h"
#include "setup/unix_time.hpp"

namespace tinspan::record {

// How a request ended, as counted and traced. Those up to kLateStale earned something.
enum class Ending : std::uint32_t {
  kInTime,
  kStale,  // in time, by a copy past its fresh time
  kLate,   // after the class's aim
  kLateStale,
  kBroken,  // begun and not finished
  kRefused,
  kFailed,
  kOverdue,  // refused or failed since its time was up
  kLeft      // its client went away first
};
inline constexpr std::uint32_t kEndings = 9;
const char* Name(Ending ending);
const char* Name(Outcome outcome);
const char* Name(Availability availability);
// The share of a request's worth that an ending earns in its class.
double Earned(Ending ending, const wire::Class& of);

// Latency buckets: 8 to each doubling from 64 us on; the last, 255, holds all above.
std::uint32_t LatencyBucket(Micros latency);
Micros LatencyOf(std::uint32_t bucket);  // the lower edge

struct TrackerRules {
  std::uint32_t sample_ppm = 10'000;
  Micros window{100'000};
  Micros second{1'000'000};
};

class Tracker {
 public:
  Tracker(const Settings& settings, TrackerRules rules, std::uint64_t seed);

  // One round of the loop: what the core was handed and what came back, at the wall clock and at the
  // core's, which never steps. Appends records to `out`; their `at_us` is the latter, still to be set off.
  void Round(UnixTime wall, Micros mono, std::span<const core::Event> events, const core::Commands& commands,
             std::size_t open, std::vector<wire::Record>& out);
  // Whatever is counted so far, before the end or a new segment.
  void Flush(Micros mono, std::vector<wire::Record>& out);
  // When Round wants to be called again though nothing happens, by the clock that never steps.
  Micros NextDue() const;
  // The servers that have a number, as a segment restates them.
  void Restate(std::vector<wire::Record>& out) const;

  std::size_t Watched() const { return requests_.size(); }

 private:
  struct Attempt {
    std::uint32_t number = 0;
    ServerId id{};
    std::uint32_t server = 0;  // the number that it was given
    ServerId source_id{};
    std::uint32_t source = 0;  // 0: no fill
    Micros sent{0};            // mono, like all here but where said
    Micros expires_at{0};
    std::optional<Micros> issued_at;  // when the origin gave out the copy
    bool served = false;              // its answer is here; whether the core passes it on is not known yet
    std::optional<Micros> ended;
    std::optional<Micros> begun;
    Outcome outcome = Outcome::kServed;
    FillNote note = FillNote::kNone;
    Micros fill_wait{0};
    std::uint32_t keep = 0;
    std::uint32_t how = 0;
  };
  struct Request {
    core::RequestReceived came;
    Micros at{0};
    std::optional<Ending> ending;
    Micros answered{0};
    std::uint32_t retry_after_ms = 0;
    bool overdue = false;
    std::vector<Attempt> attempts;
  };
  struct Known {
    std::uint32_t number = 0;
    ServerId id{};
    std::string name, address;
    std::uint32_t zone = 0, kind = 0;
    Availability state = Availability::kUp;
    std::uint32_t out = 0;  // attempts
    Micros changed{0};
    bool leaving = false;  // told to be draining or gone, and its Drain is still to be written
    Micros told{0};        // first
    std::uint32_t sent = 0;
    Micros last_sent{0};
  };
  struct Purge {
    Micros made{0};
    Micros told{0};
    std::uint32_t served = 0;
    Micros last_sent{0}, last_served{0};
  };
  using PurgeKey = std::pair<std::uint64_t, std::uint64_t>;  // group, or 0 and the object

  void On(const core::RequestReceived& event);
  void On(const core::ClientDisconnected& event);
  void On(const core::ResponseStarted& event);
  void On(const core::AttemptCompleted& event);
  void On(const core::EndpointsUpdated& event);
  void On(const core::PurgeReceived& event);
  void On(const core::ConnectionLost& event);
  void On(const core::AttemptSent& event);
  void On(const core::StartAttempt& command);
  void On(const core::AbortAttempt& command);
  void On(const core::ForwardResponse&) {}
  void On(const core::CompleteRequest& command);
  void On(const core::LogMessage& command);

  wire::Record& Put();
  Request* Find(RequestId id);
  static Attempt* Find(Request& request, std::uint32_t number);
  Known& Number(ServerId id, bool& fresh);
  Known& Server(ServerId id);  // as above; a fresh one is written
  std::uint64_t Key(std::uint32_t server, ClassId of, std::uint32_t what) const;
  void WriteServer(const Known& known, wire::Server& out) const;
  void EndAttempt(Request& request, Attempt& attempt, Outcome outcome);
  void End(Request& request, Ending ending, std::uint32_t server);
  void Settle(RequestId id);
  void Trace(RequestId id, const Request& request, bool sampled);
  void Count();
  void Went(const Attempt& attempt);
  void Old(const Request& request, const Attempt& attempt);
  void Leave(Known& known, Availability state);
  void WriteDrain(Known& known);
  void CloseWindow();
  void Second(std::size_t open);

  const Settings settings_;
  const TrackerRules rules_;
  std::mt19937_64 random_;
  std::vector<wire::Record>* out_ = nullptr;
  UnixTime wall_{};
  Micros now_{0};  // by the clock that never steps
  std::unordered_map<RequestId, Request> requests_;
  std::vector<RequestId> touched_;  // in this round: may be over
  std::unordered_map<ServerId, Known> servers_;
  std::uint32_t last_number_ = 0;
  std::size_t leaving_ = 0;
  std::map<PurgeKey, Purge> purges_;  // told lately

  // The window at hand. Ordered, so that the same course gives the same bytes.
  bool counted_ = false;
  Micros window_from_{0};
  std::map<std::uint32_t, std::uint32_t> came_;
  std::map<std::uint32_t, std::uint32_t> repeats_;
  std::map<std::uint64_t, std::uint32_t> ended_;
  std::map<std::uint64_t, std::uint32_t> attempts_;
  std::map<std::uint32_t, std::uint32_t> latency_;
  Micros next_second_{0};     // mono
  bool second_over_ = false;  // the next window carries the latencies
  struct Losses {
    std::uint32_t connections = 0;
    std::uint32_t open = 0;
  };
  std::map<std::uint32_t, Losses> lost_;
};

}  // namespace tinspan::record
