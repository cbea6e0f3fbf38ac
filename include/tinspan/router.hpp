// The interface of the decision module: the events that a gateway reports to a Router and the actions that
// the Router returns. This header declares types only; the decisions are made in src/routing.
//
// Contract:
// - A Router is used by one thread at a time. It has no global state and reads no clock.
// - The caller passes the current time with every event, in microseconds since any fixed origin. A time that
//   lies before that of an earlier event is replaced by the latest time seen.
// - Actions are appended to a vector that the caller passes and owns.
// - The constructor and UpdateSettings throw std::invalid_argument on invalid settings. Other calls throw
//   nothing except std::bad_alloc.
// - Events that match no state (an outcome of an attempt that was never sent, a request with an id that is
//   already open) are ignored.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace tinspan {

using Micros = std::chrono::microseconds;

// ---- Identifiers. ----

enum class RequestId : std::uint64_t {};  // assigned by the caller, never reused
enum class ServerId : std::uint64_t {};   // a cache, parent or origin; the same at all instances
enum class ObjectId : std::uint64_t {};   // 0: no object
enum class ClassId : std::uint32_t {};    // index in Settings::classes
enum class ZoneId : std::uint32_t {};     // a location, or a parent zone
enum class KindId : std::uint32_t {};     // a kind of server: cache, parent or origin
enum class GroupId : std::uint64_t {};    // a group of objects that can be purged together

// ---- Settings. ----

// What executing a request a second time does (RFC 9110, section 9.2.2).
enum class Effect {
  kIdempotent,      // no further effect
  kIdempotencyKey,  // no further effect within the window of the request's idempotency key
  kNonIdempotent    // the same effect again
};

// The caches that drop each other's repeats of an idempotency key: all, those of a zone, or those of a cell.
enum class IdempotencyScope { kAll, kZone, kCell };

// The other caches that may be the source of a fill: none, those of the same location, or any.
enum class SiblingScope { kOff, kLocation, kAny };

// How detailed OutcomeEvent::note is.
enum class FillDetail {
  kAll,  // every FillNote is used
  kHit,  // hits and fills are distinguished; how a fill was made is not reported
  kOff   // no notes
};

// Whether the gateway receives endpoint lists without a request (kPushed) or only after Subscribe (kPolled).
enum class Discovery { kPushed, kPolled };

// The meaning of EndpointInfo::weight.
enum class WeightMeaning {
  kOff,    // none
  kSize,   // capacity of the server in concurrent transfers
  kRough,  // an approximate capacity in concurrent transfers
  kLive    // a weight that changes during operation
};

// One class of requests.
struct ClassSettings {
  Effect effect = Effect::kNonIdempotent;
  IdempotencyScope idempotency_scope = IdempotencyScope::kCell;
  Micros idempotency_window{0};  // kIdempotencyKey: repeats are dropped for this long after the first attempt
  Micros latency_objective{0};   // a response within this time earns the full priority weight
  double latency_objective_stretch = 0;  // multiple of the transfer time added to the objective
  Micros deadline{0};                    // time limit of the class; each request has its own in time_left
  double priority_weight = 0;            // value of one request served within its latency objective
  double late_weight = 0;                // share of the priority weight earned after the objective
  double stale_weight = 0;               // share of the priority weight earned by a stale copy
  Micros freshness_lifetime{0};          // how long a copy is fresh (RFC 9111); 0: until purged
  Micros stale_grace{0};                 // how long after its freshness lifetime a copy may still be served
  bool has_parts = false;                // clients request objects in parts, one after the other
  bool is_write = false;                 // never cached; executed by the origin
  bool is_streamed = false;              // responses are streamed; each reports a ResponseStartedEvent
  bool operator==(const ClassSettings&) const = default;
};

// The settings of a Router. Values of type Micros are durations; shares range from 0 to 1.
struct Settings {
  std::vector<ClassSettings> classes;
  std::uint32_t zone_count = 0;                     // number of zones that an endpoint can be in
  std::uint32_t kind_count = 0;                     // number of kinds of server
  ZoneId zone{0};                                   // zone of this instance
  std::vector<std::uint32_t> zone_parent_zones;     // by zone: its parent zone; the parent zones form a ring
  std::vector<std::uint32_t> zone_instance_counts;  // by zone: number of instances that serve it
  std::vector<double> zone_link_kb_per_s;           // by zone: rate of its ingress link; 0: unknown
  std::uint32_t instance_count = 0;                 // in all zones
  std::uint32_t instance_index = 0;                 // index of this instance, from 0
  std::optional<KindId> parent_kind;                // empty: there are no parents
  std::optional<KindId> origin_kind;                // empty: the endpoint list contains no origin
  SiblingScope sibling_scope = SiblingScope::kOff;
  FillDetail fill_detail = FillDetail::kOff;
  Discovery discovery = Discovery::kPushed;
  WeightMeaning weight_meaning = WeightMeaning::kOff;
  bool can_bypass_cache = false;      // requests may be sent directly to a parent or the origin
  bool can_join_fill = false;         // a request may join a fill that is in progress
  bool can_hedge = false;             // a request may have two attempts in flight (hedged request)
  bool can_cancel = false;            // CancelAttempt may be emitted
  bool has_retry_after = false;       // Reject::retry_after reaches the client
  double transfer_rate_kb_per_s = 0;  // rate of one transfer to a client; 0: unknown
  std::uint32_t max_attempts = 0;     // per request
  Micros max_retry_after{0};          // longest Retry-After that clients respect
  Micros response_grace{0};           // how long after its deadline a final response still counts
  Micros event_interval{0};           // minimum time between two batches of events
  Micros connect_timeout{0};
  Micros drain_window{0};             // time within which a draining server must no longer be used
  double initial_capacity_share = 0;  // share of its capacity that a cache has when it starts
  Micros warm_up_time{0};             // a cache has its full capacity this long after its start
  double overload_multiple = 0;       // load limit of a warming cache, as a multiple of its current capacity
  Micros overload_window{0};          // a warming cache above that limit for this long fails
  double parent_initial_capacity_share = 0;  // the same for parents
  Micros parent_warm_up_time{0};
  double parent_overload_multiple = 0;
  double origin_overload_multiple = 0;  // load limit of the origin, as a multiple of its capacity; 0: none
  Micros origin_overload_window{0};     // an origin above that limit for this long stops
  Micros purge_window{0};               // time within which a purge is applied
  Micros purge_retention{0};            // no cache has a copy older than the purge after this time
};

// ---- Events. ----

enum class Availability { kUp, kDraining, kRemoved };

// An entry of the endpoint list.
struct EndpointInfo {
  ServerId id{};
  double weight = 1;  // see Settings::weight_meaning
  Availability availability = Availability::kUp;
  std::uint32_t cell = 0;
  KindId kind{};
  ZoneId zone{};
  Micros started_at{0};  // clock time of the last start; 0: long ago
};

// A change of the endpoint list, the complete list, or a failure of the endpoint watch.
struct EndpointsEvent {
  enum class Kind { kDelta, kFull, kStale, kWatchBroken } kind = Kind::kFull;  // kStale: full, may be old
  std::span<const EndpointInfo> endpoints{};                                   // only valid during the call
};

// A client has sent a request.
struct RequestEvent {
  RequestId id{};
  Micros time_left{0};  // until the client's timeout
  ClassId class_id{};
  GroupId group{};
  ObjectId object{};
  std::uint32_t part = 0;
  double size_kb = 0;     // 0: unknown
  bool is_retry = false;  // marked as a retry by the client
  // Of the client's earlier tries of the same request, if they are known:
  std::optional<Micros> executed_ago{};  // how long ago one may first have been executed
  std::optional<Micros> begun_ago{};     // how long ago the first may have been sent, at the most
};

// A streamed response has started. The request is no longer retried, nor cancelled for being late.
struct ResponseStartedEvent {
  RequestId id{};
  std::uint32_t attempt = 0;
};

// The result of an attempt. kRejected, kConnectFailed, kNotSent and kMiss prove that the server did not
// execute the request.
enum class Outcome {
  kServed,
  kError,
  kRejected,
  kTimedOut,
  kConnectFailed,
  kReset,
  kCancelled,
  kNotSent,
  kMiss
};

// How the response was produced at the cache, or why the fill failed. See FillDetail.
enum class FillNote {
  kNone,
  kHit,
  kFilled,
  kFilledViaOrigin,
  kJoined,
  kStaleHit,
  kSourceRejected,
  kSourceUnreachable,
  kSourceMiss,
  kNoFillSlot,
  kOriginFailed
};

// The load that a server reports in a response.
struct LoadReport {
  std::optional<double> in_flight{};  // requests in flight at the server
  std::optional<double> hit_ratio{};  // share of hits among recent requests
  // Of a cache: utilization of its location's ingress link, 1 is full. Of a parent: fetches in flight.
  std::optional<double> link_utilization{};
};

// An attempt has ended. The caller reports exactly one outcome for each SendAttempt.
struct OutcomeEvent {
  RequestId id{};
  std::uint32_t attempt = 0;  // index among the request's attempts, from 0 in sending order
  Outcome outcome = Outcome::kServed;
  Micros elapsed{0};         // since the attempt was sent
  bool is_finished = false;  // the client has received its final response
  FillNote note = FillNote::kNone;
  std::optional<Micros> fill_wait{};  // time until the source's first byte or its failure
  LoadReport load{};
};

// The client has disconnected; the request needs no response.
struct ClientDisconnectedEvent {
  RequestId id{};
};

// A timer requested by SetTimer has expired.
struct TimerEvent {
  std::uint64_t token = 0;
};

// Copies older than the purge must no longer be served.
struct PurgeEvent {
  Micros age{0};  // time since the purge
  GroupId group{};
  std::optional<ObjectId> object{};  // empty: the whole group
};

// ---- Actions. The caller executes them in order. ----

// Send the request to a server.
struct SendAttempt {
  RequestId id{};
  ServerId server{};
  ServerId source{};                // the server to fill a miss from; equal to `server`: no fill
  Micros expires_at{0};             // clock time of the deadline
  Micros max_age{0};                // greatest age of an acceptable copy; 0: the limit of the class
  std::uint8_t cache_rank = 0;      // 0: do not cache the response; else its cache priority, 1 to 3
  bool join_fill = false;           // a fill in progress may be joined
  bool source_cached_only = false;  // the source returns only what it has cached
  bool bypass_parent = false;       // the parent does not cache the response
  bool revalidate = false;          // serve an ageing copy and revalidate it in the background
};

// Cancel an attempt in flight. The caller still reports its outcome.
struct CancelAttempt {
  RequestId id{};
  std::uint32_t attempt = 0;
};

// Final response to a request that the client can retry without harm.
struct Reject {
  RequestId id{};
  Micros retry_after{0};  // 0: none
};

// Final response that promises nothing: the request may have been executed.
struct Fail {
  RequestId id{};
};

// Request a TimerEvent at a clock time.
struct SetTimer {
  Micros at{0};
  std::uint64_t token = 0;
};

// Start to watch the endpoint list.
struct Subscribe {};

// Write a line to the gateway's log.
struct LogLine {
  std::string text;
};

using Action = std::variant<SendAttempt, CancelAttempt, Reject, Fail, SetTimer, Subscribe, LogLine>;
using Actions = std::vector<Action>;

// Decides where each request is sent. A request is open from its RequestEvent until it has its final response
// and the outcomes of all its attempts.
class Router {
 public:
  // `seed` is reserved for random decisions; it has no effect at present.
  Router(const Settings& settings, std::uint64_t seed, Micros now, Actions& out);
  ~Router();
  Router(const Router&) = delete;
  Router(Router&&) noexcept;
  Router& operator=(const Router&) = delete;
  Router& operator=(Router&&) noexcept;

  // Replaces the settings. Existing entries of Settings::classes must stay as they are: classes that are
  // added or changed are appended. Open requests keep their class and their maximum number of attempts.
  void UpdateSettings(const Settings& settings);

  // Processes an event and appends the resulting actions to `out`.
  void Handle(Micros now, const EndpointsEvent& event, Actions& out);
  void Handle(Micros now, const RequestEvent& event, Actions& out);
  void Handle(Micros now, const ResponseStartedEvent& event, Actions& out);
  void Handle(Micros now, const OutcomeEvent& event, Actions& out);
  void Handle(Micros now, const ClientDisconnectedEvent& event, Actions& out);
  void Handle(Micros now, const TimerEvent& event, Actions& out);
  void Handle(Micros now, const PurgeEvent& event, Actions& out);

 private:
  class Engine;
  template <class Event>
  void Forward(Micros now, const Event& event, Actions& out);

  std::unique_ptr<Engine> engine_;
};

}  // namespace tinspan
