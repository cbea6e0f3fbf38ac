// Turns the core's events and commands into the records of a flight recorder. Pure: clocks and the random
// seed are passed in; records are appended in the order of the rounds.
//
// Guarantees: each received request is counted once in `came` and once in `ended`, with one verdict; each
// attempt that was ordered is counted once in `attempts`; the worth earned follows exactly from these counts
// (record.proto, Window). Memory is bounded by the number of requests that the core holds open and by the
// number of listed servers.
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

// How a request ended: its verdict in counts and traces. Verdicts up to kLateStale can earn worth.
enum class RequestOutcome : std::uint32_t {
  kInTime,
  kStale,      // in time, served from a copy past its freshness lifetime
  kLate,       // after the latency objective of its class
  kLateStale,  // both
  kTruncated,  // the response started and was not completed
  kRejected,
  kFailed,
  kDeadlineExceeded,   // refused or failed because its deadline had passed
  kClientDisconnected  // the client disconnected before the response was complete
};
inline constexpr std::uint32_t kRequestOutcomeCount = 9;
// The names used in JSON and reports; "unknown" for a value that is out of range.
const char* Name(RequestOutcome ending);
const char* Name(Outcome outcome);
const char* Name(Availability availability);
// The share, 0 to 1, of a request's worth that a verdict earns in class `of`.
double EarnedShare(RequestOutcome ending, const wire::Class& of);

// The index of a latency's histogram bucket: 8 buckets per doubling from 64 us on; the last, 255, has no
// upper limit.
std::uint32_t LatencyBucket(Micros latency);
// The lower edge of a bucket.
Micros LatencyBucketLowerEdge(std::uint32_t bucket);

struct TrackerRules {
  std::uint32_t sample_ppm = 10'000;     // share of the requests without a fault that are traced
  Micros window_length{100'000};         // how long counts are summed up before they are written
  Micros heartbeat_interval{1'000'000};  // also of latency counts and lost connections
};

// Not thread-safe.
class Tracker {
 public:
  Tracker(const Settings& settings, TrackerRules rules, std::uint64_t seed);

  // Records one round of the event loop: the events passed to the core and the commands it returned. `wall`
  // is Unix time, `mono` the core's clock, which never steps. Appends to `out`; `at_us` of the appended
  // records is a time of that clock, from which the caller still has to subtract the segment's start.
  void RecordRound(UnixTime wall, Micros mono, std::span<const core::Event> events,
                   const core::Commands& commands, std::size_t open_requests, std::vector<wire::Record>& out);
  // Writes the counts of the open window, to be called before the recording ends.
  void Flush(Micros mono, std::vector<wire::Record>& out);
  // When RecordRound must be called again even without events, on the monotonic clock.
  Micros NextDueAt() const;
  // Appends one Server record for each tracked server, in the order of their numbers. A segment begins with
  // them.
  void AppendServers(std::vector<wire::Record>& out) const;

  std::size_t TrackedRequests() const { return requests_.size(); }

 private:
  // All times are on the monotonic clock unless stated otherwise.
  struct Attempt {
    std::uint32_t number = 0;
    ServerId server_id{};
    std::uint32_t server_number = 0;  // TrackedServer::number
    ServerId source_id{};
    std::uint32_t source_number = 0;  // 0: no fill
    Micros sent_at{0};
    Micros expires_at{0};
    std::optional<Micros> issued_at;       // when the origin issued the copy
    bool is_response_unconfirmed = false;  // complete, but the core has not yet decided to forward it
    std::optional<Micros> ended_at;
    std::optional<Micros> response_started_at;
    Outcome outcome = Outcome::kServed;
    FillNote note = FillNote::kNone;
    Micros fill_wait{0};
    std::uint32_t cache_rank = 0;
    std::uint32_t fill_flags = 0;  // wire::Attempt.how
  };
  struct Request {
    core::RequestReceived received;
    Micros received_at{0};
    std::optional<RequestOutcome> ending;
    Micros ended_at{0};
    std::uint32_t retry_after_ms = 0;
    bool is_deadline_exceeded = false;
    std::vector<Attempt> attempts;
  };
  struct TrackedServer {
    std::uint32_t number = 0;
    ServerId id{};
    std::string name, address;
    std::uint32_t zone = 0, kind = 0;
    Availability availability = Availability::kUp;
    std::uint32_t open_attempts = 0;
    Micros changed_at{0};         // the last update of its availability
    bool is_drain_open = false;   // reported as draining or gone, and its Drain record is not yet written
    Micros drain_reported_at{0};  // the first such report
    std::uint32_t sent_since_drain = 0;
    Micros last_sent_at{0};
  };
  struct TrackedPurge {
    Micros purged_at{0};
    Micros received_at{0};
    std::uint32_t outdated_responses = 0;  // served from copies issued before the purge
    Micros last_sent_at{0}, last_served_at{0};
  };
  using PurgeKey = std::pair<std::uint64_t, std::uint64_t>;  // group and 0, or 0 and the object

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

  wire::Record& AppendRecord();
  Request* FindRequest(RequestId id);
  static Attempt* FindAttempt(Request& request, std::uint32_t number);
  TrackedServer& FindOrAddServer(ServerId id, bool& is_new);
  // As FindOrAddServer, and appends a Server record for a new one.
  TrackedServer& FindOrRecordServer(ServerId id);
  // The key of a count in Window.ended (`outcome`: a RequestOutcome) or Window.attempts (`outcome`: an
  // Outcome).
  std::uint64_t CountKey(std::uint32_t server_number, ClassId of, std::uint32_t outcome) const;
  void EncodeServer(const TrackedServer& server, wire::Server& out) const;
  void EndAttempt(Request& request, Attempt& attempt, Outcome outcome);
  void EndRequest(Request& request, RequestOutcome ending, std::uint32_t server_number);
  void FinishRequest(RequestId id);
  void RecordTrace(RequestId id, const Request& request, bool is_sampled);
  // Starts the window of counts unless one is open.
  void StartWindow();
  void RecordSend(const Attempt& attempt);
  void RecordOutdatedCopy(const Request& request, const Attempt& attempt);
  void UpdateAvailability(TrackedServer& server, Availability availability);
  void RecordDrain(TrackedServer& server);
  void CloseWindow();
  void RecordSecond(std::size_t open_requests);

  const Settings settings_;
  const TrackerRules rules_;
  std::mt19937_64 random_;
  std::vector<wire::Record>* output_ = nullptr;  // only while a public function runs
  UnixTime wall_{};
  Micros now_{0};  // monotonic
  std::unordered_map<RequestId, Request> requests_;
  std::vector<RequestId> touched_requests_;  // looked up in this round, so they may have ended
  std::unordered_map<ServerId, TrackedServer> servers_;
  std::uint32_t last_server_number_ = 0;
  std::size_t open_drains_ = 0;
  std::map<PurgeKey, TrackedPurge> purges_;  // received within the retention time

  // Counts of the current window. The maps are ordered so that equal input gives equal bytes.
  bool is_window_open_ = false;
  Micros window_started_at_{0};
  std::map<std::uint32_t, std::uint32_t> received_counts_;
  std::map<std::uint32_t, std::uint32_t> repeat_counts_;
  std::map<std::uint64_t, std::uint32_t> ended_counts_;
  std::map<std::uint64_t, std::uint32_t> attempt_counts_;
  std::map<std::uint32_t, std::uint32_t> latency_counts_;
  Micros next_second_at_{0};
  bool is_latency_due_ = false;  // the next window carries the latency counts
  struct ConnectionLosses {
    std::uint32_t connections = 0;
    std::uint32_t open_requests = 0;
  };
  std::map<std::uint32_t, ConnectionLosses> connection_losses_;
};

}  // namespace tinspan::record
