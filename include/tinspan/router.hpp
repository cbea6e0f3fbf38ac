// The interface of tinspan: the events that a gateway reports to a Router and the actions that it gets back.
// It holds types only. Every decision is made in src/routing.
//
// Contract. One Router serves one thread; it keeps no globals and reads no clock. The caller supplies the
// clock with every event (any origin, microseconds); a clock that steps back is read as standing still.
// Actions are appended to the vector that the caller passes and owns. The constructor and Retune throw
// std::invalid_argument on settings that make no sense; no other call throws except std::bad_alloc. Events
// that fit nothing (an outcome for an attempt never made, a request id already open) are ignored.
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

enum class RequestId : std::uint64_t {};  // the caller's number of a request, never used twice
enum class ServerId : std::uint64_t {};   // of a cache, parent or origin; the same number at all instances
enum class ObjectId : std::uint64_t {};   // of an object; 0 is no object
enum class ClassId : std::uint32_t {};    // place in Settings::classes
enum class ZoneId : std::uint32_t {};     // a location or hub
enum class KindId : std::uint32_t {};     // a kind of machine
enum class GroupId : std::uint64_t {};    // a group of objects that can be purged together

// ---- Settings. ----

// What a repeated attempt does (RFC 9110, section 9.2.2): nothing more; nothing more within the window of its
// idempotency key; the same once more.
enum class Effect { kIdempotent, kIdempotencyKey, kNonIdempotent };

// With an idempotency key: the caches that drop each other's repeats. All, those of a zone, those of a cell.
enum class IdempotencyScope { kAll, kZone, kCell };

// Which other caches may be the source of a fill.
enum class SiblingScope { kOff, kLocation, kAny };

// How much an outcome's note tells of the fill: all of FillNote, hits apart from fills only, nothing.
enum class FillDetail { kAll, kHit, kOff };

// Whether endpoint lists come unasked.
enum class Discovery { kPushed, kPolled };

// What EndpointInfo::weight stands for: nothing, the capacity in transfers at once, the same roughly, or a
// live weight.
enum class WeightMeaning { kOff, kSize, kRough, kLive };

// One class of requests.
struct ClassSettings {
  Effect effect = Effect::kNonIdempotent;
  IdempotencyScope idempotency_scope = IdempotencyScope::kCell;
  Micros idempotency_window{0};  // kIdempotencyKey: how long repeats are dropped after the first attempt
  Micros latency_objective{0};   // an answer within this earns the full priority weight
  double latency_objective_stretch = 0;  // the objective grows by this multiple of the request's sending time
  Micros deadline{0};                    // the class's whole time; a request brings its own
  double priority_weight = 0;            // of one request answered within its latency objective
  double late_weight = 0;                // share of the priority weight earned after the objective
  double stale_weight = 0;               // share of the priority weight earned by a stale copy
  Micros freshness_lifetime{0};          // how long a copy is fresh (RFC 9111); 0: until purged
  Micros stale_grace{0};                 // how much older than fresh a copy may be asked for
  bool has_parts = false;                // objects come in parts asked for in turn
  bool is_write = false;                 // never cached, runs at the origin
  bool is_streamed = false;              // answers stream: a ResponseStartedEvent comes
  bool operator==(const ClassSettings&) const = default;
};

// What one Router is set up with. Times are spans; shares are from 0 to 1.
struct Settings {
  std::vector<ClassSettings> classes;
  std::uint32_t zone_count = 0;                     // zones that endpoints may stand in
  std::uint32_t kind_count = 0;                     // kinds of machine
  ZoneId zone{0};                                   // where this instance stands
  std::vector<std::uint32_t> zone_hubs;             // by zone: its hub; hubs stand in a ring
  std::vector<std::uint32_t> zone_instance_counts;  // by zone: instances that serve it
  std::vector<double> zone_link_kb_per_s;           // by zone: its ingress link; 0: unknown
  std::uint32_t instance_count = 0;                 // in all
  std::uint32_t instance_index = 0;                 // this one, from 0
  std::optional<KindId> parent_kind;                // none: there are no parents
  std::optional<KindId> origin_kind;                // none: no origin is listed
  SiblingScope sibling_scope = SiblingScope::kOff;
  FillDetail fill_detail = FillDetail::kOff;
  Discovery discovery = Discovery::kPushed;
  WeightMeaning weight_meaning = WeightMeaning::kOff;
  bool can_bypass_cache = false;      // requests may go straight to a parent or the origin
  bool can_join_fill = false;         // a request may join a fill under way
  bool can_hedge = false;             // two attempts of a request may be in flight together
  bool can_cancel = false;            // CancelAttempt is allowed
  bool has_retry_after = false;       // a rejection's Retry-After reaches clients
  double transfer_rate_kb_per_s = 0;  // the pace of one transfer to a client
  std::uint32_t max_attempts = 0;     // for one request
  Micros max_retry_after{0};          // the longest Retry-After that clients follow
  Micros answer_grace{0};             // after the deadline a final answer still counts
  Micros event_interval{0};           // least time between two batches of events
  Micros connect_timeout{0};
  Micros drain_window{0};                    // time to stop using a draining server
  double initial_capacity_share = 0;         // least part of its capacity with which a cache starts
  Micros warm_up_time{0};                    // a cache is warm after this at most
  double overload_multiple = 0;              // a cache sent more than this times its present capacity...
  Micros overload_window{0};                 // ...for this long falls over while it warms up
  double parent_initial_capacity_share = 0;  // the same for a parent
  Micros parent_warm_up_time{0};
  double parent_overload_multiple = 0;
  double origin_overload_multiple = 0;  // asked for more than this the origin stops; 0: never
  Micros origin_overload_window{0};     // ...when that lasts this long
  Micros purge_window{0};               // time to apply a purge
  Micros purge_retention{0};            // after this no older copy is left anywhere
};

// ---- Events. ----

enum class Availability { kUp, kDraining, kRemoved };

// One server, as the endpoint list describes it.
struct EndpointInfo {
  ServerId id{};
  double weight = 1;  // see Settings::weight_meaning
  Availability availability = Availability::kUp;
  std::uint32_t cell = 0;
  KindId kind{};
  ZoneId zone{};
  Micros started_at{0};  // clock time of its last start; 0: long ago
};

// A change of the endpoint list, the whole list, or the end of the watch.
struct EndpointsEvent {
  enum class Kind { kDelta, kFull, kStale, kWatchBroken } kind = Kind::kFull;  // kStale: full, perhaps old
  std::span<const EndpointInfo> endpoints{};                                   // read during the call only
};

// A client's request has come.
struct RequestEvent {
  RequestId id{};
  Micros time_left{0};  // until the client gives up
  ClassId class_id{};
  GroupId group{};
  ObjectId object{};
  std::uint32_t part = 0;
  double size_kb = 0;     // 0: unknown
  bool is_retry = false;  // the client marked it as a repeat
};

// A streamed answer has begun; the attempt belongs to the client now.
struct ResponseStartedEvent {
  RequestId id{};
  std::uint32_t attempt = 0;
};

// How an attempt ended. kRejected, kConnectFailed, kNotSent and kMiss prove that it was not executed.
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

// What an outcome tells of the fill behind it.
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

// What a server reports of its load along with an answer.
struct LoadReport {
  std::optional<double> in_flight{};         // requests in flight there
  std::optional<double> hit_ratio{};         // recent share of hits
  std::optional<double> link_utilization{};  // cache: of its location's link, 1 is full; parent: fetches out
};

// An attempt has ended. Each SendAttempt gets exactly one.
struct OutcomeEvent {
  RequestId id{};
  std::uint32_t attempt = 0;  // counted from 0 in the order sent
  Outcome outcome = Outcome::kServed;
  Micros elapsed{0};         // since it was sent
  bool is_finished = false;  // the request has had its final answer
  FillNote note = FillNote::kNone;
  std::optional<Micros> fill_wait{};  // until the source's first byte, or its failure
  LoadReport load{};
};

// The client has disconnected; no answer is owed any more.
struct ClientDisconnectedEvent {
  RequestId id{};
};

// A timer set by SetTimer has come due.
struct TimerEvent {
  std::uint64_t token = 0;
};

// Copies older than the purge must not be served any more.
struct PurgeEvent {
  Micros age{0};  // time since the purge
  GroupId group{};
  std::optional<ObjectId> object{};  // none: the whole group
};

// ---- Actions, to be carried out in order. ----

// Sends a request to a server.
struct SendAttempt {
  RequestId id{};
  ServerId server{};
  ServerId source{};                // where a miss is filled from; the server itself: no fill
  Micros expires_at{0};             // clock time
  Micros max_age{0};                // oldest copy that will do; 0: the class's own limit
  std::uint8_t cache_rank = 0;      // 0: the cache stores no copy, else the copy's rank, 1 to 3
  bool join_fill = false;           // join a fill under way
  bool source_cached_only = false;  // the source gives only what it has cached
  bool bypass_parent = false;       // the parent stores no copy
  bool revalidate = false;          // an ageing copy is served and fetched anew behind
};

// Cancels an attempt in flight; its outcome still comes.
struct CancelAttempt {
  RequestId id{};
  std::uint32_t attempt = 0;
};

// The final answer to a request whose retry does no harm.
struct Reject {
  RequestId id{};
  Micros retry_after{0};  // 0: none
};

// The final answer to a request of which nothing is promised.
struct Fail {
  RequestId id{};
};

// Asks for a TimerEvent at a clock time.
struct SetTimer {
  Micros at{0};
  std::uint64_t token = 0;
};

// Asks for endpoint changes from now on.
struct Subscribe {};

// A line for the gateway's log.
struct LogLine {
  std::string text;
};

using Action = std::variant<SendAttempt, CancelAttempt, Reject, Fail, SetTimer, Subscribe, LogLine>;
using Actions = std::vector<Action>;

// Decides where each request goes. Requests are open from their RequestEvent to their final answer, or to the
// last outcome, whichever is later.
class Router {
 public:
  // The seed is for decisions drawn at random; there is none now.
  Router(const Settings& settings, std::uint64_t seed, Micros now, Actions& out);
  ~Router();
  Router(const Router&) = delete;
  Router(Router&&) noexcept;
  Router& operator=(const Router&) = delete;
  Router& operator=(Router&&) noexcept;

  // New settings for what comes from now on. Classes only grow: a class that is added or changed comes after
  // those there were, and requests that are open keep their class and their number of attempts.
  void Retune(const Settings& settings);

  // Takes in an event and appends the actions that follow from it.
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
  void Pass(Micros now, const Event& event, Actions& out);

  std::unique_ptr<Engine> engine_;
};

}  // namespace tinspan
