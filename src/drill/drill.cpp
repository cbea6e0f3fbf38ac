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

// One line's fields, taken by place and name; absent values and missing trailing ones read as zero.
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
  const Fields& All() const { return fields_; }
  std::string_view Text(std::size_t place, std::string_view field) const {
    if (place >= fields_.size()) throw Malformed{std::string(field), "a value, but the line ends"};
    return fields_[place];
  }
  bool Has(std::size_t place) const { return place < fields_.size() && !IsAbsent(fields_[place]); }
  template <class Number>
  Number Get(std::size_t place, std::string_view field) const {
    return ParseNumber<Number>(Text(place, field), field);
  }
  template <class Number>
  Number GetOrZero(std::size_t place, std::string_view field) const {
    return Has(place) ? Get<Number>(place, field) : Number{};
  }
  Micros Millis(std::size_t place, std::string_view field) const {
    return ParseMillis(Text(place, field), field);
  }
  bool Bool(std::size_t place, std::string_view field) const {
    const std::string_view text = Text(place, field);
    if (text != "0" && text != "1") throw Malformed{std::string(field), "1 or 0"};
    return text == "1";
  }
  void AtMost(std::size_t count) const {
    if (fields_.size() > count) throw Malformed{"end of line", "no further value"};
  }

 private:
  Fields fields_;
};

struct Instance {
  std::unique_ptr<Router> router;  // null until power_on and after halt
  Site site;
};

Outcome ReadOutcome(std::string_view text) {
  return Choose<Outcome>(text, "disposition",
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

class Player {
 public:
  Player(std::istream& in, std::ostream& out) : in_(in), out_(out) {}

  // Plays to the end of input. Throws Malformed.
  void Run() {
    while (NextLine()) {
      if (line_.Name() != "clock") throw Malformed{"message", "clock"};
      now_ = line_.Millis(1, "clock");
      line_.AtMost(2);
      reply_.clear();
      at_ = nullptr;
      while (true) {
        if (!NextLine()) throw Malformed{"message", "an event or commit, but the input ends"};
        if (line_.Name() == "commit") break;
        Event();
      }
      reply_ += "done\n";
      out_.write(reply_.data(), static_cast<std::streamsize>(reply_.size()));
      out_.flush();
    }
  }
  std::size_t LineNumber() const { return line_number_; }

 private:
  struct Row {
    EndpointInfo member;
    std::string kind;
    std::string zone;
  };
  struct List {
    bool defined = false;
    std::vector<Row> rows;
    std::vector<EndpointInfo> members;  // rows with kinds and zones placed by the names below
    Names zones;
    Names kinds;
  };

  bool NextLine() {
    if (!std::getline(in_, text_)) return false;
    ++line_number_;
    line_.Read(text_);
    return true;
  }

  void Event() {
    const std::string_view name = line_.Name();
    if (name == "at") {
      at_number_ = line_.Get<std::int64_t>(1, "gatewayId");
      line_.AtMost(2);
      at_ = &instances_[at_number_];
      return;
    }
    if (name == "define_list") return DefineList();
    if (at_ == nullptr) throw Malformed{"message", "an instance named by 'at' before '" + Quoted() + "'"};
    if (name == "power_on") return PowerOn();
    if (!at_->router) throw Malformed{"gatewayId", "an instance that has been started"};
    if (name == "halt") {
      line_.AtMost(1);
      *at_ = Instance{};
      return;
    }
    if (name == "req") return Pass(ReadRequest());
    if (name == "result") return Pass(ReadResult());
    if (name == "ring") return Pass(TimerEvent{line_.Get<std::uint64_t>(1, "ref")}, 2);
    if (name == "started") {
      return Pass(ResponseStartedEvent{ReadId(), line_.Get<std::uint32_t>(3, "seqNo")}, 5);
    }
    if (name == "hangup") return Pass(ClientDisconnectedEvent{ReadId()}, 2);
    if (name == "invalidated") return Pass(ReadPurge());
    if (name == "roster_change") return RosterChange();
    if (name == "ping_result" || name == "mail") return;  // neither probes nor messages are used
    throw Malformed{"message", "a known event, not '" + Quoted() + "'"};
  }
  std::string Quoted() const { return std::string(line_.Name()); }
  RequestId ReadId() const { return RequestId{line_.Get<std::uint64_t>(1, "job")}; }

  void DefineList() {
    const auto number = line_.Get<std::uint32_t>(1, "setId");
    if (number > 15) throw Malformed{"setId", "a list number from 0 to 15"};
    const auto count = line_.Get<std::uint32_t>(2, "nodesList");
    line_.AtMost(3);
    List& list = lists_[number];
    list = List{};
    list.defined = true;
    for (std::uint32_t i = 0; i < count; ++i) {
      if (!NextLine()) throw Malformed{"message", "row, but the input ends"};
      if (line_.Name() != "row") throw Malformed{"message", "row"};
      Row row;
      row.member.id = Intern(line_.Text(1, "cache"));
      row.member.weight = line_.Has(2) ? line_.Get<double>(2, "nominal") : 0.0;
      row.member.availability = Choose<Availability>(
          line_.Text(3, "availability"), "availability",
          {{"on", Availability::kUp}, {"fading", Availability::kDraining}, {"off", Availability::kRemoved}});
      row.member.cell = line_.GetOrZero<std::uint32_t>(4, "pod");
      row.kind = line_.Text(5, "machine");
      row.member.started_at = line_.Has(6) ? line_.Millis(6, "sinceMs") : Micros{0};
      row.zone = line_.Text(7, "area");
      line_.AtMost(8);
      list.rows.push_back(std::move(row));
    }
  }

  ServerId Intern(std::string_view address) {
    if (address.empty() || address == "-") throw Malformed{"cache", "address:port"};
    const auto hash = static_cast<std::uint64_t>(HashName(address));
    const auto [place, added] = addresses_.try_emplace(hash, address);
    if (!added && place->second != address) throw Malformed{"cache", "an address with a hash of its own"};
    return ServerId{hash};
  }

  void PowerOn() {
    const auto seed = line_.Get<std::uint64_t>(1, "initSeed");
    *at_ = Instance{};
    Setup setup;
    for (std::size_t i = 2; i < line_.All().size(); ++i) {
      const std::string_view pair = line_.All()[i];
      const std::size_t mark = pair.find('=');
      if (mark == std::string_view::npos) throw Malformed{"setup", "path=value"};
      setup.Add(pair.substr(0, mark), pair.substr(mark + 1));
    }
    at_->site = ReadSite(setup);
    Perform([&] { at_->router = std::make_unique<Router>(at_->site.settings, seed, now_, actions_); });
  }

  void RosterChange() {
    using Kind = EndpointsEvent::Kind;
    EndpointsEvent event;
    event.kind = Choose<Kind>(line_.Text(1, "how"), "how",
                              {{"patch", Kind::kDelta},
                               {"whole", Kind::kFull},
                               {"stale_copy", Kind::kStale},
                               {"broken", Kind::kWatchBroken}});
    line_.AtMost(4);
    if (event.kind != Kind::kWatchBroken) {
      const auto number = line_.Get<std::uint32_t>(2, "setId");
      if (number > 15 || !lists_[number].defined) throw Malformed{"setId", "a list that was defined"};
      event.endpoints = Placed(lists_[number]);
    }
    Pass(event);
  }

  // The members of a list, kinds and zones placed once for all instances with the same names.
  const std::vector<EndpointInfo>& Placed(List& list) {
    if (list.members.size() == list.rows.size() && list.zones == at_->site.zones &&
        list.kinds == at_->site.kinds) {
      return list.members;
    }
    list.zones = at_->site.zones;
    list.kinds = at_->site.kinds;
    list.members.clear();
    for (const Row& row : list.rows) {
      EndpointInfo member = row.member;
      member.kind = KindId{PlaceOf(list.kinds, row.kind, "machine")};
      member.zone = ZoneId{PlaceOf(list.zones, row.zone, "area")};
      list.members.push_back(member);
    }
    return list.members;
  }

  RequestEvent ReadRequest() {
    RequestEvent event;
    event.id = ReadId();
    event.time_left = line_.Millis(2, "ttlMs");
    event.is_retry = (line_.GetOrZero<std::uint32_t>(3, "marks") & 2u) != 0;
    event.class_id = ClassId{PlaceOf(at_->site.classes, line_.Text(4, "tierClass"), "tierClass")};
    event.group = GroupId{line_.GetOrZero<std::uint64_t>(5, "labelNo")};
    event.size_kb = line_.GetOrZero<double>(6, "volumeKb");
    event.part = line_.GetOrZero<std::uint32_t>(7, "rangeNo");
    if (line_.Has(9) && line_.Text(9, "resource") != "0") {
      event.object = ParseObject(line_.Text(9, "resource"), "resource");
    }
    line_.AtMost(10);
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
    event.note = static_cast<FillNote>(note);  // the interface lists the notes in the wire's order
    if (line_.Has(8)) event.fill_wait = line_.Millis(8, "waitedMs");
    if (line_.Has(9)) event.load = ReadLoad(line_.Text(9, "stats"), ',');
    line_.AtMost(10);
    return event;
  }

  PurgeEvent ReadPurge() {
    PurgeEvent event;
    event.age = line_.Millis(1, "howOldMs");
    event.group = GroupId{line_.GetOrZero<std::uint64_t>(2, "tag")};
    if (line_.Has(3) && line_.Text(3, "resource") != "0") {
      event.object = ParseObject(line_.Text(3, "resource"), "resource");
    }
    line_.AtMost(4);
    return event;
  }

  template <class EventType>
  void Pass(const EventType& event, std::size_t fields_at_most = std::size_t(-1)) {
    line_.AtMost(fields_at_most);
    Perform([&] { at_->router->Handle(now_, event, actions_); });
  }

  // Runs the module and writes what it wants done; an exception of the module ends the day by `die`.
  template <class Call>
  void Perform(const Call& call) {
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
    reply_.append("for\t").append(std::to_string(at_number_)).append("\n");
    for (const Action& action : actions_) {
      std::visit([this](const auto& one) { Write(one); }, action);
    }
    if (!failure.empty()) reply_.append("die\t").append(failure).append("\n");
  }

  void Put(std::uint64_t value) {
    char digits[24];
    const auto end = std::to_chars(digits, digits + sizeof digits, value).ptr;
    reply_.append(digits, end);
  }
  void PutMillis(Micros time) {
    auto count = time.count();
    if (count < 0) {
      reply_ += '-';
      count = -count;
    }
    Put(static_cast<std::uint64_t>(count / 1000));
    const auto rest = static_cast<unsigned>(count % 1000);
    reply_ += '.';
    reply_ += static_cast<char>('0' + rest / 100);
    reply_ += static_cast<char>('0' + rest / 10 % 10);
    reply_ += static_cast<char>('0' + rest % 10);
  }
  void Begin(std::string_view name, RequestId id) {
    reply_.append(name).append("\t");
    Put(static_cast<std::uint64_t>(id));
  }
  void PutAddress(ServerId id) {
    const auto found = addresses_.find(static_cast<std::uint64_t>(id));
    if (found == addresses_.end()) throw std::logic_error("the module named a server that no list had");
    reply_ += found->second;
  }

  void Write(const SendAttempt& one) {
    Begin("read_through", one.id);
    reply_ += '\t';
    PutAddress(one.server);
    reply_ += '\t';
    PutMillis(one.max_age);
    reply_ += '\t';
    PutMillis(one.expires_at);
    reply_ += '\t';
    Put(one.cache_rank);
    reply_ += '\t';
    PutAddress(one.source);
    reply_ += '\t';
    Put((one.join_fill ? 1u : 0u) + (one.source_cached_only ? 2u : 0u) + (one.bypass_parent ? 4u : 0u) +
        (one.revalidate ? 8u : 0u));
    reply_ += '\n';
  }
  void Write(const CancelAttempt& one) {
    Begin("abort_attempt", one.id);
    reply_ += '\t';
    Put(one.attempt);
    reply_ += '\n';
  }
  void Write(const Reject& one) {
    Begin("not_now", one.id);
    reply_ += '\t';
    PutMillis(one.retry_after);
    reply_ += '\n';
  }
  void Write(const Fail& one) {
    Begin("error", one.id);
    reply_ += '\n';
  }
  void Write(const SetTimer& one) {
    reply_ += "arm\t";
    PutMillis(one.at);
    reply_ += '\t';
    Put(one.token);
    reply_ += '\n';
  }
  void Write(const Subscribe&) { reply_ += "listen\t1\n"; }
  void Write(const LogLine& one) { reply_.append("remark\t").append(one.text).append("\n"); }

  std::istream& in_;
  std::ostream& out_;
  std::string text_;
  Line line_;
  std::size_t line_number_ = 0;
  Micros now_{0};
  std::string reply_;
  Actions actions_;
  std::map<std::int64_t, Instance> instances_;
  Instance* at_ = nullptr;
  std::int64_t at_number_ = 0;
  List lists_[16];
  std::unordered_map<std::uint64_t, std::string> addresses_;  // looked up only, never walked
};

}  // namespace

int Play(std::istream& in, std::ostream& out, std::ostream& err) {
  Player player(in, out);
  try {
    player.Run();
  } catch (const Malformed& wrong) {
    err << "tinspan_drill: line " << player.LineNumber() << ": " << wrong.field << ": expected "
        << wrong.expected << std::endl;
    return 2;
  }
  return 0;
}

}  // namespace tinspan::drill
