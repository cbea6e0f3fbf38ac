#include "drill/drill.hpp"

#include <charconv>
#include <istream>
#include <map>
#include <memory>
#include <ostream>
#include <string>
#include <string_view>
#include <unordered_map>

#include "setup/setup.hpp"
#include "tinspan/router.hpp"

namespace tinspan::drill {
namespace {

using Fields = std::vector<std::string_view>;

// The tab-separated fields of one line. Accessors take the index of a field, and its name for error messages;
// they throw Malformed if the field is missing or invalid. GetOrZero returns zero for an absent field.
class Line {
 public:
  void Read(std::string_view text) {
    fields_.clear();
    for (std::size_t start = 0;;) {
      const std::size_t end = text.find('\t', start);
      fields_.push_back(text.substr(start, end - start));
      if (end == std::string_view::npos) return;
      start = end + 1;
    }
  }
  std::string_view Name() const { return fields_[0]; }
  const Fields& AllFields() const { return fields_; }
  std::string_view Text(std::size_t index, std::string_view field) const {
    if (index >= fields_.size()) throw Malformed{std::string(field), "a value, but the line ends"};
    return fields_[index];
  }
  bool Has(std::size_t index) const { return index < fields_.size() && !IsAbsent(fields_[index]); }
  template <class Number>
  Number Get(std::size_t index, std::string_view field) const {
    return ParseNumber<Number>(Text(index, field), field);
  }
  template <class Number>
  Number GetOrZero(std::size_t index, std::string_view field) const {
    return Has(index) ? Get<Number>(index, field) : Number{};
  }
  Micros Millis(std::size_t index, std::string_view field) const {
    return ParseMillis(Text(index, field), field);
  }
  bool Bool(std::size_t index, std::string_view field) const {
    const std::string_view text = Text(index, field);
    if (text != "0" && text != "1") throw Malformed{std::string(field), "1 or 0"};
    return text == "1";
  }
  void ExpectAtMost(std::size_t count) const {
    if (fields_.size() > count) throw Malformed{"end of line", "no further value"};
  }

 private:
  Fields fields_;
};

struct Instance {
  std::unique_ptr<Router> router;  // null before power_on and after halt
  NamedSettings site;
};

Outcome ReadOutcome(std::string_view text) {
  return ParseEnum<Outcome>(text, "disposition",
                            {{"pass", Outcome::kServed},
                             {"fault", Outcome::kError},
                             {"no_room", Outcome::kRejected},
                             {"too_slow", Outcome::kTimedOut},
                             {"no_route", Outcome::kConnectFailed},
                             {"cut", Outcome::kReset},
                             {"undone", Outcome::kCancelled},
                             {"stale_send", Outcome::kNotSent},
                             {"none_here", Outcome::kMiss}});
}

class Adapter {
 public:
  Adapter(std::istream& in, std::ostream& out) : in_(in), out_(out) {}

  // Processes the input to its end. Throws Malformed.
  void Run() {
    while (NextLine()) {
      if (line_.Name() != "clock") throw Malformed{"message", "clock"};
      now_ = line_.Millis(1, "clock");
      line_.ExpectAtMost(2);
      reply_.clear();
      instance_ = nullptr;
      while (true) {
        if (!NextLine()) throw Malformed{"message", "an event or commit, but the input ends"};
        if (line_.Name() == "commit") break;
        HandleEvent();
      }
      reply_ += "done\n";
      out_.write(reply_.data(), static_cast<std::streamsize>(reply_.size()));
      out_.flush();
    }
  }
  std::size_t LineNumber() const { return line_number_; }

 private:
  struct EndpointRow {
    EndpointInfo endpoint;
    std::string kind;
    std::string zone;
  };
  struct EndpointList {
    bool is_defined = false;
    std::vector<EndpointRow> rows;
    std::vector<EndpointInfo> endpoints;  // the rows with kind and zone ids, for the names below
    Names zones;
    Names kinds;
  };

  bool NextLine() {
    if (!std::getline(in_, line_text_)) return false;
    ++line_number_;
    line_.Read(line_text_);
    return true;
  }

  void HandleEvent() {
    const std::string_view name = line_.Name();
    if (name == "at") {
      instance_id_ = line_.Get<std::int64_t>(1, "gatewayId");
      line_.ExpectAtMost(2);
      instance_ = &instances_[instance_id_];
      return;
    }
    if (name == "define_list") return DefineList();
    if (instance_ == nullptr)
      throw Malformed{"message", "an instance named by 'at' before '" + EventName() + "'"};
    if (name == "power_on") return PowerOn();
    if (!instance_->router) throw Malformed{"gatewayId", "an instance that has been started"};
    if (name == "halt") {
      line_.ExpectAtMost(1);
      *instance_ = Instance{};
      return;
    }
    if (name == "req") return Deliver(ReadRequest());
    if (name == "result") return Deliver(ReadResult());
    if (name == "ring") return Deliver(TimerEvent{line_.Get<std::uint64_t>(1, "ref")}, 2);
    if (name == "started") {
      return Deliver(ResponseStartedEvent{ReadId(), line_.Get<std::uint32_t>(3, "seqNo")}, 5);
    }
    if (name == "hangup") return Deliver(ClientDisconnectedEvent{ReadId()}, 2);
    if (name == "invalidated") return Deliver(ReadPurge());
    if (name == "roster_change") return RosterChange();
    if (name == "ping_result" || name == "mail") return;  // probe results and messages are ignored
    throw Malformed{"message", "a known event, not '" + EventName() + "'"};
  }
  std::string EventName() const { return std::string(line_.Name()); }
  RequestId ReadId() const { return RequestId{line_.Get<std::uint64_t>(1, "job")}; }

  void DefineList() {
    const auto number = line_.Get<std::uint32_t>(1, "setId");
    if (number > 15) throw Malformed{"setId", "a list number from 0 to 15"};
    const auto count = line_.Get<std::uint32_t>(2, "nodesList");
    line_.ExpectAtMost(3);
    EndpointList& list = lists_[number];
    list = EndpointList{};
    list.is_defined = true;
    for (std::uint32_t i = 0; i < count; ++i) {
      if (!NextLine()) throw Malformed{"message", "row, but the input ends"};
      if (line_.Name() != "row") throw Malformed{"message", "row"};
      EndpointRow row;
      row.endpoint.id = RegisterAddress(line_.Text(1, "cache"));
      row.endpoint.weight = line_.Has(2) ? line_.Get<double>(2, "nominal") : 0.0;
      row.endpoint.availability = ParseEnum<Availability>(
          line_.Text(3, "availability"), "availability",
          {{"on", Availability::kUp}, {"fading", Availability::kDraining}, {"off", Availability::kRemoved}});
      row.endpoint.cell = line_.GetOrZero<std::uint32_t>(4, "pod");
      row.kind = line_.Text(5, "machine");
      row.endpoint.started_at = line_.Has(6) ? line_.Millis(6, "sinceMs") : Micros{0};
      row.zone = line_.Text(7, "area");
      line_.ExpectAtMost(8);
      list.rows.push_back(std::move(row));
    }
  }

  ServerId RegisterAddress(std::string_view address) {
    if (address.empty() || address == "-") throw Malformed{"cache", "address:port"};
    const auto hash = static_cast<std::uint64_t>(HashName(address));
    const auto [entry, was_added] = addresses_.try_emplace(hash, address);
    if (!was_added && entry->second != address)
      throw Malformed{"cache", "an address whose hash differs from that of any other address"};
    return ServerId{hash};
  }

  void PowerOn() {
    const auto seed = line_.Get<std::uint64_t>(1, "initSeed");
    *instance_ = Instance{};
    SettingsMap settings;
    for (std::size_t i = 2; i < line_.AllFields().size(); ++i) {
      const std::string_view pair = line_.AllFields()[i];
      const std::size_t equals_sign = pair.find('=');
      if (equals_sign == std::string_view::npos) throw Malformed{"setup", "path=value"};
      settings.Add(pair.substr(0, equals_sign), pair.substr(equals_sign + 1));
    }
    instance_->site = ReadSettings(settings);
    CallModule([&] {
      instance_->router = std::make_unique<Router>(instance_->site.settings, seed, now_, actions_);
    });
  }

  void RosterChange() {
    using Kind = EndpointsEvent::Kind;
    EndpointsEvent event;
    event.kind = ParseEnum<Kind>(line_.Text(1, "how"), "how",
                                 {{"patch", Kind::kDelta},
                                  {"whole", Kind::kFull},
                                  {"stale_copy", Kind::kStale},
                                  {"broken", Kind::kWatchBroken}});
    line_.ExpectAtMost(4);
    if (event.kind != Kind::kWatchBroken) {
      const auto number = line_.Get<std::uint32_t>(2, "setId");
      if (number > 15 || !lists_[number].is_defined) throw Malformed{"setId", "a list that was defined"};
      event.endpoints = ResolveEndpoints(lists_[number]);
    }
    Deliver(event);
  }

  // Returns the endpoints of a list with kind and zone ids. The result is cached: instances with the same
  // zone and kind names share it.
  const std::vector<EndpointInfo>& ResolveEndpoints(EndpointList& list) {
    if (list.endpoints.size() == list.rows.size() && list.zones == instance_->site.zones &&
        list.kinds == instance_->site.kinds) {
      return list.endpoints;
    }
    list.zones = instance_->site.zones;
    list.kinds = instance_->site.kinds;
    list.endpoints.clear();
    for (const EndpointRow& row : list.rows) {
      EndpointInfo endpoint = row.endpoint;
      endpoint.kind = KindId{IndexOf(list.kinds, row.kind, "machine")};
      endpoint.zone = ZoneId{IndexOf(list.zones, row.zone, "area")};
      list.endpoints.push_back(endpoint);
    }
    return list.endpoints;
  }

  RequestEvent ReadRequest() {
    RequestEvent event;
    event.id = ReadId();
    event.time_left = line_.Millis(2, "ttlMs");
    event.is_retry = (line_.GetOrZero<std::uint32_t>(3, "marks") & 2u) != 0;
    event.class_id = ClassId{IndexOf(instance_->site.classes, line_.Text(4, "tierClass"), "tierClass")};
    event.group = GroupId{line_.GetOrZero<std::uint64_t>(5, "labelNo")};
    event.size_kb = line_.GetOrZero<double>(6, "volumeKb");
    event.part = line_.GetOrZero<std::uint32_t>(7, "rangeNo");
    if (line_.Has(9) && line_.Text(9, "resource") != "0") {
      event.object = ParseObject(line_.Text(9, "resource"), "resource");
    }
    line_.ExpectAtMost(10);
    return event;
  }

  OutcomeEvent ReadResult() {
    OutcomeEvent event;
    event.id = ReadId();
    event.attempt = line_.Get<std::uint32_t>(2, "seqNo");
    event.outcome = ReadOutcome(line_.Text(4, "disposition"));
    event.elapsed = line_.Millis(5, "spentMs");
    event.is_finished = line_.Bool(6, "closed");
    const auto note = line_.GetOrZero<std::uint32_t>(7, "detail");
    if (note > static_cast<std::uint32_t>(FillNote::kOriginFailed)) {
      throw Malformed{"detail", "a note from 0 to 10"};
    }
    event.note = static_cast<FillNote>(note);  // FillNote lists the notes in the order of the wire format
    if (line_.Has(8)) event.fill_wait = line_.Millis(8, "waitedMs");
    if (line_.Has(9)) event.load = ParseLoadReport(line_.Text(9, "stats"), ',');
    line_.ExpectAtMost(10);
    return event;
  }

  PurgeEvent ReadPurge() {
    PurgeEvent event;
    event.age = line_.Millis(1, "howOldMs");
    event.group = GroupId{line_.GetOrZero<std::uint64_t>(2, "tag")};
    if (line_.Has(3) && line_.Text(3, "resource") != "0") {
      event.object = ParseObject(line_.Text(3, "resource"), "resource");
    }
    line_.ExpectAtMost(4);
    return event;
  }

  template <class EventType>
  void Deliver(const EventType& event, std::size_t max_fields = std::size_t(-1)) {
    line_.ExpectAtMost(max_fields);
    CallModule([&] { instance_->router->Handle(now_, event, actions_); });
  }

  // Calls the module and writes its actions. If the module throws, writes a `die` line, which ends the
  // simulation run.
  template <class Call>
  void CallModule(const Call& call) {
    actions_.clear();
    std::string failure;
    try {
      call();
    } catch (const Malformed&) {
      throw;
    } catch (const std::exception& error) {
      failure = error.what();
    }
    if (actions_.empty() && failure.empty()) return;
    reply_.append("for\t").append(std::to_string(instance_id_)).append("\n");
    for (const Action& action : actions_) {
      std::visit([this](const auto& alternative) { AppendAction(alternative); }, action);
    }
    if (!failure.empty()) reply_.append("die\t").append(failure).append("\n");
  }

  void AppendNumber(std::uint64_t value) {
    char digits[24];
    const auto end = std::to_chars(digits, digits + sizeof digits, value).ptr;
    reply_.append(digits, end);
  }
  void AppendMillis(Micros time) {
    auto count = time.count();
    if (count < 0) {
      reply_ += '-';
      count = -count;
    }
    AppendNumber(static_cast<std::uint64_t>(count / 1000));
    const auto rest = static_cast<unsigned>(count % 1000);
    reply_ += '.';
    reply_ += static_cast<char>('0' + rest / 100);
    reply_ += static_cast<char>('0' + rest / 10 % 10);
    reply_ += static_cast<char>('0' + rest % 10);
  }
  void BeginAction(std::string_view name, RequestId id) {
    reply_.append(name).append("\t");
    AppendNumber(static_cast<std::uint64_t>(id));
  }
  void AppendAddress(ServerId id) {
    const auto found = addresses_.find(static_cast<std::uint64_t>(id));
    if (found == addresses_.end())
      throw std::logic_error("the module named a server that is in no endpoint list");
    reply_ += found->second;
  }

  void AppendAction(const SendAttempt& action) {
    BeginAction("read_through", action.id);
    reply_ += '\t';
    AppendAddress(action.server);
    reply_ += '\t';
    AppendMillis(action.max_age);
    reply_ += '\t';
    AppendMillis(action.expires_at);
    reply_ += '\t';
    AppendNumber(action.cache_rank);
    reply_ += '\t';
    AppendAddress(action.source);
    reply_ += '\t';
    AppendNumber((action.join_fill ? 1u : 0u) + (action.source_cached_only ? 2u : 0u) +
                 (action.bypass_parent ? 4u : 0u) + (action.revalidate ? 8u : 0u));
    reply_ += '\n';
  }
  void AppendAction(const CancelAttempt& action) {
    BeginAction("abort_attempt", action.id);
    reply_ += '\t';
    AppendNumber(action.attempt);
    reply_ += '\n';
  }
  void AppendAction(const Reject& action) {
    BeginAction("not_now", action.id);
    reply_ += '\t';
    AppendMillis(action.retry_after);
    reply_ += '\n';
  }
  void AppendAction(const Fail& action) {
    BeginAction("error", action.id);
    reply_ += '\n';
  }
  void AppendAction(const SetTimer& action) {
    reply_ += "arm\t";
    AppendMillis(action.at);
    reply_ += '\t';
    AppendNumber(action.token);
    reply_ += '\n';
  }
  void AppendAction(const Subscribe&) { reply_ += "listen\t1\n"; }
  void AppendAction(const LogLine& action) { reply_.append("remark\t").append(action.text).append("\n"); }

  std::istream& in_;
  std::ostream& out_;
  std::string line_text_;
  Line line_;
  std::size_t line_number_ = 0;
  Micros now_{0};
  std::string reply_;
  Actions actions_;
  std::map<std::int64_t, Instance> instances_;
  Instance* instance_ = nullptr;
  std::int64_t instance_id_ = 0;
  EndpointList lists_[16];
  // By hash of the address. Never iterated, because the order is unspecified.
  std::unordered_map<std::uint64_t, std::string> addresses_;
};

}  // namespace

int RunAdapter(std::istream& in, std::ostream& out, std::ostream& err) {
  Adapter adapter(in, out);
  try {
    adapter.Run();
  } catch (const Malformed& malformed) {
    err << "tinspan_drill: line " << adapter.LineNumber() << ": " << malformed.field << ": expected "
        << malformed.expected << std::endl;
    return 2;
  }
  return 0;
}

}  // namespace tinspan::drill
