// The core of the doorman: requests, their deadlines and attempts, members, purges, and the Router that
// decides. It knows no wire and no descriptor: a front hands it what happened and carries out what comes
// back.
//
// It keeps the promises that do not depend on any decision: exactly one final answer for each request, at its
// deadline at the latest; one attempt out at a time; no answer from an attempt that was given up; nothing
// sent to or filled from a server past its drain time; no copy older than a purge heeded by then.
#pragma once

#include <cstdint>
#include <optional>
#include <queue>
#include <span>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "tinspan/router.hpp"

namespace tinspan::core {

// ---- Events. ----
struct RequestReceived {
  RequestId id{};       // from RequestCoordinator::NextRequestId
  Micros time_left{0};  // from now until the client gives up
  ClassId class_id{};
  GroupId group{};
  ObjectId object{};
  std::uint32_t part = 0;
  double size_kb = 0;
  bool is_retry = false;
};
struct ClientDisconnected {  // nothing is owed any more
  RequestId id{};
};
struct AttemptSent {  // it had to wait for a connection, and has gone out only now
  RequestId id{};
  std::uint32_t attempt = 0;
};
struct ResponseStarted {  // the answer's first bytes are here and may be passed on from now
  RequestId id{};
  std::uint32_t attempt = 0;
  std::optional<Micros> issued_at{};  // when the origin gave the copy out
};
struct AttemptCompleted {
  RequestId id{};
  std::uint32_t attempt = 0;
  Outcome outcome = Outcome::kServed;
  FillNote note = FillNote::kNone;
  std::optional<Micros> fill_wait{};
  LoadReport load{};
  std::optional<Micros> issued_at{};
};
struct EndpointsUpdated {
  struct EndpointName {
    std::string name;
    std::string address;
  };
  EndpointsEvent::Kind kind = EndpointsEvent::Kind::kFull;
  std::vector<EndpointInfo> endpoints{};
  // For the record only; what is empty is not told.
  std::vector<EndpointName> names{};  // of the member at the same place
  std::string source{};               // such as "changelog"
  std::uint64_t version = 0;          // the source's own number of what it told
};
struct PurgeReceived {
  Micros purged_at{0};  // when the purge was made
  GroupId group{};
  std::optional<ObjectId> object{};  // none: the whole group
};
struct ConnectionLost {  // of a server, with requests open on it; each of them is told by AttemptCompleted
  ServerId server{};
  std::size_t open_requests = 0;
};
using Event = std::variant<RequestReceived, ClientDisconnected, ResponseStarted, AttemptCompleted,
                           EndpointsUpdated, PurgeReceived, ConnectionLost, AttemptSent>;

// ---- Commands, to be carried out in order. ----
struct StartAttempt {
  SendAttempt action;
  std::uint32_t attempt = 0;
};
struct AbortAttempt {  // the attempt is given up; whatever still comes of it is dropped
  RequestId id{};
  std::uint32_t attempt = 0;
};
struct ForwardResponse {  // the attempt's answer is the client's: pass on what there is and what comes
  RequestId id{};
  std::uint32_t attempt = 0;
};
enum class CompletionStatus {
  kServed,     // by the attempt named
  kTruncated,  // the answer had begun and cannot be finished: the client must see that
  kRejected,   // trying again is harmless
  kFailed,
};
struct CompleteRequest {  // final; each request that came gets one, unless its client left
  RequestId id{};
  CompletionStatus status = CompletionStatus::kFailed;
  std::uint32_t attempt = 0;
  Micros retry_after{0};           // 0: no advice
  bool deadline_exceeded = false;  // the time was up, whatever the verdict
};
struct LogMessage {
  std::string text;
};
using Command = std::variant<StartAttempt, AbortAttempt, ForwardResponse, CompleteRequest, LogMessage>;
using Commands = std::vector<Command>;

struct CoordinatorOptions {
  // Taken off what a client allows: `allow` counts from when the client sent, and the answer has still to be
  // written and to reach it.
  Micros response_margin{2'000};
  // A begun answer may take as long as it keeps moving; without any bytes for so long it is broken off by the
  // front. Here only: how long an attempt without a deadline may be remembered.
  Micros sweep_interval{1'000'000};
};

class RequestCoordinator {
 public:
  RequestCoordinator(const Settings& settings, std::uint64_t seed, Micros now, CoordinatorOptions options);

  RequestId NextRequestId() { return RequestId{++last_id_}; }
  // SIGKILL may come at `at`: every request, open already or to come, is allowed at most until shortly
  // before, so that none is found unanswered: a client that is told may ask elsewhere, one that is cut off
  // waits.
  void SetShutdownDeadline(Micros at);
  // Settings for what comes from now on (setup::Retuned makes them): open requests keep what they had.
  void Retune(const Settings& settings) {
    settings_ = settings;
    router_.Retune(settings);
  }
  // Handles all that has come in since the last call, then what is due by the clock.
  void Handle(Micros now, std::span<const Event> events, Commands& out);
  // Whether a send that had to wait (for a connection) may still go out. A front asks right before it writes.
  bool CanSend(Micros now, RequestId id, std::uint32_t attempt) const;
  // When Handle wants to be called again, if nothing happens before.
  std::optional<Micros> NextDeadline() const;
  std::size_t OpenRequests() const { return open_; }  // without their final answer yet

 private:
  struct Try {
    ServerId server{};
    ServerId source{};
    Micros sent{0};
    bool out = true;
    bool may_have_run = false;  // ended, by an outcome that does not prove the opposite
  };
  struct Request {
    RequestReceived came;
    Micros deadline{0};
    std::uint32_t most_attempts = 0;  // as the settings said when it came
    bool answered = false;
    std::optional<std::uint32_t> begun;
    std::vector<Try> tries;
  };
  struct Due {
    Micros at;
    std::uint64_t serial;
    enum class What { kRouter, kAttempt, kDeadline } what;
    std::uint64_t token;  // kRouter: the module's, else the request
    std::uint32_t attempt;
    bool operator<(const Due& o) const { return at != o.at ? at > o.at : serial > o.serial; }
  };
  struct Standing {  // what we were told last of a server
    Availability availability = Availability::kUp;
    Micros told{0};
  };
  struct Purge {
    Micros at{0};
    Micros told{0};
  };

  void On(const RequestReceived& event);
  void On(const ClientDisconnected& event);
  void On(const ResponseStarted& event);
  void On(const AttemptCompleted& event);
  void On(const EndpointsUpdated& event);
  void On(const PurgeReceived& event);
  void On(const AttemptSent&) {}     // the attempt's time runs from its order
  void On(const ConnectionLost&) {}  // of no weight for any decision: what was open on it is told one by one
  void RunDue();

  template <class RouterEvent>
  void Ask(const RouterEvent& event);
  void Do(const SendAttempt& order);
  void Do(const CancelAttempt& order);
  void Do(const Reject& order);
  void Do(const Fail& order);
  void Do(const SetTimer& order);
  void Do(const Subscribe&) {}  // the change log is always followed
  void Do(const LogLine& order) { out_->push_back(LogMessage{order.text}); }

  Request* Find(RequestId id);
  Micros LastAnswer() const { return *ends_by_ - kLastWrite; }
  void Finish(RequestId id, Request& request, CompleteRequest answer);
  void End(RequestId id, Request& request, std::uint32_t attempt, AttemptCompleted how);
  void Forget(RequestId id);
  void At(Micros at, Due::What what, std::uint64_t token, std::uint32_t attempt = 0);
  bool PastDrain(Micros now, ServerId server) const;
  // The rule on effects at the moment of writing: an earlier attempt may have run, and the class allows no
  // further one any more.
  bool MayRepeat(Micros now, const Request& request, std::uint32_t attempt) const;
  // Whether a copy given out at `issued` is older than a purge that an attempt sent at `sent` had to heed.
  bool Purged(const Request& request, Micros sent, Micros issued) const;

  // The time an answer takes to be written after its deadline here, before SIGKILL.
  static constexpr Micros kLastWrite{150'000};

  Settings settings_;
  std::optional<Micros> ends_by_;
  CoordinatorOptions options_;
  Micros now_{0};
  Commands* out_ = nullptr;
  std::uint64_t last_id_ = 0;
  std::size_t open_ = 0;
  std::unordered_map<std::uint64_t, Request> requests_;
  std::unordered_map<std::uint64_t, Standing> standings_;
  std::unordered_map<std::uint64_t, Purge> purged_objects_;
  std::unordered_map<std::uint64_t, Purge> purged_groups_;
  Micros next_forget_{0};
  std::priority_queue<Due> due_;
  std::uint64_t serial_ = 0;
  std::vector<AttemptCompleted> called_off_;  // outcomes that the Router is told after the actions at hand
  Router router_;
};

}  // namespace tinspan::core
