// The timeline of each incarnation, built from its records on its own clock: the input of the fleet timeline.
// Pure. It keeps sums instead of the records, so that hours of many instances fit into memory.
#pragma once

#include <array>
#include <map>
#include <string>
#include <vector>

#include "record/dictionary.hpp"
#include "record/reader.hpp"

namespace tinspan::timeline {

namespace wire = record::wire;
using ServerKey = std::uint64_t;  // a ServerId, the same at all instances

// Requests of one class within one second.
struct ClassCounts {
  std::uint64_t received = 0;
  std::uint64_t repeats = 0;
  std::array<std::uint64_t, record::kRequestOutcomeCount> ended{};
  std::uint64_t Ended() const;  // all endings together
  ClassCounts& operator+=(const ClassCounts& other);
};
// Attempts at one server within one kServerBucketWidth.
struct ServerCounts {
  std::uint32_t attempts = 0;
  std::uint32_t failed = 0;  // any outcome but served, miss, cancelled and rejected
  std::uint32_t rejected = 0;
};
inline constexpr Micros kServerBucketWidth{5'000'000};
inline constexpr Micros kLatencyBucketWidth{10'000'000};
// Requests per latency bucket of the recorder.
using LatencyCounts = std::array<std::uint32_t, 256>;
// The upper edge of the latency bucket in which `share` of all counts is reached; 0 if nothing was counted.
Micros Quantile(const LatencyCounts& counts, double share);

// Descriptive fields of a server, as far as the records contain them.
struct ServerInfo {
  std::string name, address, zone, kind;
};

// What the records of one incarnation contain. All times are on its own clock: its wall clock at the start,
// continued by its monotonic clock, so that they never step.
struct Incarnation {
  struct ServerStateChange {
    Micros at{0};
    ServerKey server = 0;
    Availability state = Availability::kUp;
    Availability previous = Availability::kRemoved;
    Micros server_started_at{0};    // as the server reported it; 0: long ago
    bool is_in_first_list = false;  // in the first list from its source
  };
  // A server list, or a part of one, received from a source of endpoints.
  struct SourceUpdate {
    Micros at{0};
    std::string source;
    std::uint64_t version = 0;
  };
  struct Purge {
    Micros at{0};
    Micros issued_at{0};
    std::uint64_t group = 0, object = 0;
  };
  // What was still sent to a server after its drain was received.
  struct DrainResult {
    Micros received_at{0};
    ServerKey server = 0;
    std::uint32_t sent_after = 0;  // requests
    Micros last_sent_after{0};     // from the receipt to the last of them
  };
  // What older copies still answered after a purge was received.
  struct PurgeResult {
    Micros received_at{0};
    std::uint64_t group = 0, object = 0;
    std::uint32_t older_copies_served = 0;
    Micros last_sent_after{0}, last_served_after{0};  // since the receipt
  };
  struct LifecycleEvent {
    Micros at{0};
    wire::Life::What kind = wire::Life::UNKNOWN;
    std::uint32_t signal = 0;
    std::uint32_t open_requests = 0;
    std::string text;
  };
  // The wall clock was set: it moved against the monotonic clock.
  struct ClockStep {
    Micros at{0};
    Micros by{0};
  };
  // Connections to a server that broke with requests open.
  struct LostConnections {
    Micros at{0};
    ServerKey server = 0;
    std::uint32_t connections = 0, open_requests = 0;
  };
  // A line that the router wrote.
  struct RouterLine {
    Micros at{0};
    std::string text;
  };
  // A request that was kept for its bad ending, with its trace.
  struct NotableRequest {
    Micros at{0};
    wire::Trace trace;
  };

  std::string name;
  std::int64_t number = 0;  // Unix time of its start in microseconds
  record::Dictionary dictionary;
  Micros start_wall{0}, start_mono{0};  // from the first header
  Micros first_record_at{0}, last_record_at{0};
  bool has_stopped = false;                                 // its records contain its stop
  std::int64_t open_requests = 0;                           // received and not ended, as far as recorded
  std::map<ServerKey, std::uint32_t> outstanding_attempts;  // as of the last heartbeat
  Micros last_heartbeat_at{0};
  std::uint64_t record_count = 0, dropped_records = 0;
  std::vector<ServerStateChange> server_changes;
  std::vector<SourceUpdate> source_updates;
  std::vector<Purge> purges;
  std::vector<DrainResult> drain_results;
  std::vector<PurgeResult> purge_results;
  std::vector<LifecycleEvent> lifecycle_events;
  std::vector<ClockStep> clock_steps;
  std::vector<LostConnections> lost_connections;
  std::vector<RouterLine> router_lines;
  std::vector<Micros> gaps;
  std::vector<NotableRequest> worst_requests;
  std::map<std::int64_t, std::vector<ClassCounts>> counts_by_second;        // by second since the epoch
  std::map<ServerKey, std::map<std::int64_t, ServerCounts>> server_counts;  // by bucket index
  std::map<std::int64_t, std::map<std::uint32_t, LatencyCounts>> latency;
  std::map<ServerKey, Availability> server_states;  // as received last
};

// Builds the timelines of all incarnations from their records. Records of one incarnation must arrive in
// order; those of different incarnations may interleave in any way.
class InstanceTimelines final : public record::RecordSink {
 public:
  void OnRecord(const record::SegmentName& from, Micros at, const wire::Record& record) override;
  void OnReadError(const record::ReadError& error) override { read_errors_.push_back(error); }

  // By instance name as file names write it, and by incarnation number.
  const std::map<std::pair<std::string, std::int64_t>, Incarnation>& Incarnations() const {
    return incarnations_;
  }
  const std::map<ServerKey, ServerInfo>& Servers() const { return servers_; }
  const std::vector<record::ReadError>& ReadErrors() const { return read_errors_; }

 private:
  void Apply(Incarnation& incarnation, Micros at, const wire::Window& window);
  void Apply(Incarnation& incarnation, Micros at, const wire::Members& members);
  void Apply(Incarnation& incarnation, Micros at, const wire::Trace& trace);
  void Apply(Incarnation& incarnation, Micros at, const wire::Heartbeat& heartbeat);
  // 0 if the records have not described the server.
  static ServerKey KeyOf(const Incarnation& incarnation, std::uint32_t number);

  std::map<std::pair<std::string, std::int64_t>, Incarnation> incarnations_;
  std::map<ServerKey, ServerInfo> servers_;
  std::vector<record::ReadError> read_errors_;
};

}  // namespace tinspan::timeline
