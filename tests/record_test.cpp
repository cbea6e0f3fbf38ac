// The flight recorder without a running program: frames under damage, the bound on disk, counts that must be
// exact, and a disk that fails. Properties print the seed that broke them.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>
#include <sys/resource.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <random>
#include <thread>

#include "net/clock.hpp"
#include "record/book.hpp"
#include "record/folder.hpp"
#include "record/frame.hpp"
#include "record/json.hpp"
#include "record/recorder.hpp"

namespace tinspan::record {
namespace {

namespace fs = std::filesystem;

std::string Segment(const std::vector<std::string>& messages) {
  std::string out(kMagic);
  for (const std::string& one : messages) AppendFrame(out, one);
  return out;
}

struct Found {
  std::vector<std::string> messages;
  std::vector<std::pair<std::uint64_t, std::uint64_t>> damage;  // offset, size
};
// Fed in pieces, as a file that grows.
Found ReadFrames(std::string_view bytes, std::size_t piece) {
  Found out;
  FrameReader reader;
  const auto drain = [&](bool end) {
    while (true) {
      const auto state = end ? reader.End() : reader.Next();
      if (state == FrameReader::State::kMessage) {
        out.messages.emplace_back(reader.Message());
      } else if (state == FrameReader::State::kDamage) {
        out.damage.emplace_back(reader.DamageAt(), reader.DamageSize());
      } else {
        return;
      }
    }
  };
  for (std::size_t at = 0; at < bytes.size(); at += piece) {
    reader.Feed(bytes.substr(at, piece));
    drain(false);
  }
  drain(true);
  return out;
}

TEST(Frames, ATailTornAtEveryByteLosesTheLastMessageAlone) {
  const std::vector<std::string> messages{"first", std::string(300, 'x'), "the last message"};
  const std::string whole = Segment(messages);
  const std::size_t last = whole.size() - kFrameHead - messages[2].size();
  for (std::size_t size = last; size < whole.size(); ++size) {
    const Found found = ReadFrames(std::string_view(whole).substr(0, size), 7);
    ASSERT_EQ(found.messages, std::vector<std::string>(messages.begin(), messages.end() - 1));
    if (size == last) {
      ASSERT_TRUE(found.damage.empty());
    } else {
      ASSERT_EQ(found.damage, (decltype(found.damage){{last, size - last}}));
    }
  }
}

RC_GTEST_PROP(Frames, AChangedByteLosesOneMessageAndIsTold, ()) {
  const auto count = *rc::gen::inRange(2, 12);
  std::vector<std::string> messages;
  std::vector<std::size_t> starts;
  std::string whole(kMagic);
  for (int i = 0; i < count; ++i) {
    messages.push_back(*rc::gen::nonEmpty(rc::gen::string<std::string>()));
    starts.push_back(whole.size());
    AppendFrame(whole, messages.back());
  }
  const auto at = *rc::gen::inRange(kMagic.size(), whole.size());
  whole[at] = static_cast<char>(whole[at] ^ *rc::gen::inRange(1, 256));
  const auto hit =
      static_cast<std::size_t>(std::upper_bound(starts.begin(), starts.end(), at) - starts.begin()) - 1;
  const Found found = ReadFrames(whole, static_cast<std::size_t>(*rc::gen::inRange(1, 64)));
  messages.erase(messages.begin() + static_cast<std::ptrdiff_t>(hit));
  RC_ASSERT(found.messages == messages);
  RC_ASSERT(found.damage.size() == 1u && found.damage[0].first == starts[hit]);
}

TEST(Frames, AMessageLargerThanWhatIsDoubtedIsWaitedFor) {
  const std::vector<std::string> messages{"first", std::string(300'000, 'x'), std::string(90'000, 'y'),
                                          "last"};
  const Found found = ReadFrames(Segment(messages), 10'000);
  EXPECT_EQ(found.messages, messages);
  EXPECT_TRUE(found.damage.empty());
}

RC_GTEST_PROP(Frames, AnyBytesAreReadWithoutHarm, ()) {
  std::string bytes = *rc::gen::string<std::string>();
  if (*rc::gen::arbitrary<bool>()) bytes = std::string(kMagic) + bytes;
  const Found found = ReadFrames(bytes, static_cast<std::size_t>(*rc::gen::inRange(1, 16)));
  RC_ASSERT(found.messages.empty());
}

RC_GTEST_PROP(Rotations, TheBoundHoldsAtEveryMoment, ()) {
  RotationRules rules;
  rules.segment_bytes = static_cast<std::uint64_t>(*rc::gen::inRange(100, 1000));
  rules.total_bytes = rules.segment_bytes * static_cast<std::uint64_t>(*rc::gen::inRange(2, 6));
  rules.segment_age = Micros{1000};
  std::map<std::string, std::uint64_t> disk;
  std::vector<SegmentFile> old;
  for (int i = *rc::gen::inRange(0, 4); i > 0; --i) {
    old.push_back({"old" + std::to_string(9 - i), rules.total_bytes / 4});
    disk[old.back().name] = old.back().bytes;
  }
  Rotation rotation(rules, old);
  const auto held = [&] {
    std::uint64_t sum = 0;
    for (const auto& [name, bytes] : disk) sum += bytes;
    return sum;
  };
  std::string open;
  Micros now{5000};
  int number = 0;
  for (const int step : *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(1, 100))) {
    now += Micros{step % 7 == 0 ? -400 : step};
    const auto bytes = static_cast<std::uint64_t>(step);
    if (!rotation.Fits(bytes, now)) {
      open = "segment" + std::to_string(++number);
      for (const std::string& name : rotation.Open(open, now)) disk.erase(name);
      disk[open] = 0;
      RC_ASSERT(rotation.Fits(bytes, now));
    }
    disk[open] += bytes;
    rotation.Wrote(bytes);
    RC_ASSERT(held() <= rules.total_bytes);
    RC_ASSERT(held() == rotation.Held());
  }
}

TEST(Latency, BucketsAreAnEighthOfADoublingWide) {
  for (std::int64_t micros = 1; micros < 100'000'000; micros = micros * 9 / 8 + 1) {
    const std::uint32_t bucket = LatencyBucket(Micros{micros});
    EXPECT_LE(LatencyOf(bucket).count(), micros);
    EXPECT_LT(micros, LatencyOf(bucket + 1).count() + 1);
    if (bucket > 0) {
      EXPECT_LT(LatencyOf(bucket + 1).count(), LatencyOf(bucket).count() * 1.1 + 2);
    }
  }
}

// ---- Counts, against the real core under random courses. ----

Settings MakeSettings() {
  Settings settings;
  for (int i = 0; i < 3; ++i) {
    ClassSettings one;
    one.effect = i == 2 ? Effect::kIdempotencyKey : Effect::kIdempotent;
    one.idempotency_scope = IdempotencyScope::kAll;
    one.idempotency_window = Micros{6'000'000};
    one.latency_objective = Micros{300'000};
    one.deadline = Micros{1'500'000};
    one.priority_weight = 1 + i;
    one.late_weight = 0.2;
    one.stale_weight = 0.7;
    one.is_streamed = true;
    settings.classes.push_back(one);
  }
  settings.zone_count = 2;
  settings.kind_count = 2;
  settings.zone = ZoneId{1};
  settings.instance_count = 1;
  settings.origin_kind = KindId{1};
  settings.can_bypass_cache = true;
  settings.can_cancel = true;
  settings.has_retry_after = true;
  settings.max_attempts = 3;
  settings.max_retry_after = Micros{2'000'000};
  settings.event_interval = Micros{2'000};
  settings.drain_window = Micros{500'000};
  settings.purge_window = Micros{1'000'000};
  settings.purge_retention = Micros{6'000'000};
  settings.transfer_rate_kb_per_s = 5000;
  return settings;
}

class Course {
 public:
  explicit Course(std::uint64_t seed)
      : random_(seed),
        gateway_(MakeSettings(), seed, mono_, {}),
        tracker_(MakeSettings(), {.sample_ppm = 300'000}, seed) {}

  void Run(int rounds) {
    Tell({Members(EndpointsEvent::Kind::kFull)});
    for (int i = 0; i < rounds; ++i) Tell(Events());
    for (int i = 0; i < 400; ++i) {  // all deadlines pass
      std::vector<core::Event> rest;
      for (const auto& [id, attempt] : out_) {
        if (Chance(3))
          rest.push_back(core::AttemptCompleted{.id = id, .attempt = attempt, .outcome = Outcome::kError});
      }
      Tell(rest);
    }
    tracker_.Flush(mono_, records_);
  }

  std::map<std::uint32_t, std::uint64_t> came, recorded_came, recorded_ended;
  std::map<std::pair<std::uint32_t, std::uint32_t>, std::uint64_t> verdicts,
      recorded_verdicts;  // class, ending
  std::uint64_t sends = 0, recorded_attempts = 0, traces = 0, bad = 0;
  std::size_t Left() const { return tracker_.Watched(); }

  void Sum() {
    for (const wire::Record& record : records_) {
      if (record.has_trace()) {
        ++traces;
        RC_ASSERT(record.trace().attempts_size() <= 3);
        if (!record.trace().sampled()) ++bad;
      }
      const wire::Window& window = record.window();
      for (int i = 0; i + 1 < window.came_size(); i += 2) recorded_came[window.came(i)] += window.came(i + 1);
      for (int i = 0; i + 1 < window.ended_size(); i += 2) {
        const auto key = window.ended(i) / 16 % 3;
        recorded_ended[static_cast<std::uint32_t>(key)] += window.ended(i + 1);
        recorded_verdicts[{static_cast<std::uint32_t>(key), window.ended(i) % 16}] += window.ended(i + 1);
      }
      for (int i = 0; i + 1 < window.attempts_size(); i += 2) recorded_attempts += window.attempts(i + 1);
    }
  }

 private:
  bool Chance(int of) { return random_() % static_cast<unsigned>(of) == 0; }
  core::EndpointsUpdated Members(EndpointsEvent::Kind kind) {
    core::EndpointsUpdated told;
    told.kind = kind;
    for (std::uint64_t id = 11; id < 16; ++id) {
      if (id > 12 && Chance(4)) continue;
      const bool origin = id == 11;
      told.endpoints.push_back(
          {.id = ServerId{id},
           .availability = id > 12 && Chance(4) ? Availability::kDraining : Availability::kUp,
           .kind = KindId{origin ? 1u : 0u},
           .zone = ZoneId{origin ? 0u : 1u}});
      told.names.push_back({"s" + std::to_string(id), ""});
    }
    return told;
  }
  std::vector<core::Event> Events() {
    std::vector<core::Event> out;
    for (int i = static_cast<int>(random_() % 4); i > 0; --i) {
      core::RequestReceived request;
      request.id = gateway_.NextRequestId();
      request.class_id = ClassId{static_cast<std::uint32_t>(random_() % 3)};
      request.time_left = Micros{1'500'000};
      request.object = ObjectId{1 + random_() % 20};
      request.group = GroupId{random_() % 4};
      request.size_kb = 10;
      arrived_[request.id] = {mono_, static_cast<std::uint32_t>(request.class_id)};
      ++came[static_cast<std::uint32_t>(request.class_id)];
      out.push_back(request);
    }
    for (const auto& [id, attempt] : std::map(out_)) {
      if (!Chance(3)) continue;
      core::AttemptCompleted ended{.id = id, .attempt = attempt};
      constexpr std::array kAll{Outcome::kServed, Outcome::kServed, Outcome::kServed,
                                Outcome::kServed, Outcome::kError,  Outcome::kRejected,
                                Outcome::kReset,  Outcome::kMiss,   Outcome::kNotSent};
      ended.outcome = kAll[random_() % kAll.size()];
      ended.note = Chance(5) ? FillNote::kStaleHit : FillNote::kHit;
      ended.issued_at = mono_ - Micros{static_cast<std::int64_t>(random_() % 4'000'000)};
      if (Chance(3)) out.push_back(core::ResponseStarted{id, attempt, ended.issued_at});
      stale_[id] = ended.note == FillNote::kStaleHit;
      out.push_back(ended);
    }
    if (Chance(40)) out.push_back(Members(EndpointsEvent::Kind::kDelta));
    if (Chance(80)) out.push_back(Members(EndpointsEvent::Kind::kFull));
    if (Chance(15)) out.push_back(core::PurgeReceived{mono_, GroupId{random_() % 4}, std::nullopt});
    if (Chance(9) && !arrived_.empty()) {
      const RequestId id = arrived_.begin()->first;
      if (!answered_.contains(id)) Verdict(id, Ending::kLeft);
      out.push_back(core::ClientDisconnected{id});
    }
    return out;
  }
  void Verdict(RequestId id, Ending ending) {
    answered_.insert(id);
    ++verdicts[{arrived_.at(id).second, static_cast<std::uint32_t>(ending)}];
    arrived_.erase(id);
  }
  void Tell(const std::vector<core::Event>& events) {
    now_ += Micros{10'000};
    mono_ += Micros{10'000};
    if (Chance(200)) now_ -= Micros{1'000'000};  // the wall clock steps
    core::Commands commands;
    gateway_.Handle(mono_, events, commands);
    tracker_.Round(UnixTime(now_), mono_, events, commands, gateway_.OpenRequests(), records_);
    for (const core::Command& command : commands) {
      if (const auto* send = std::get_if<core::StartAttempt>(&command)) {
        ++sends;
        out_[send->action.id] = send->attempt;
      } else if (const auto* stop = std::get_if<core::AbortAttempt>(&command)) {
        out_.erase(stop->id);
      } else if (const auto* answer = std::get_if<core::CompleteRequest>(&command)) {
        if (answered_.contains(answer->id)) continue;
        const bool late = mono_ - arrived_.at(answer->id).first > Micros{300'000};
        const bool stale = stale_[answer->id];
        using core::CompletionStatus;
        Course::Verdict(answer->id, answer->status == CompletionStatus::kServed
                                        ? (late ? (stale ? Ending::kLateStale : Ending::kLate)
                                                : (stale ? Ending::kStale : Ending::kInTime))
                                    : answer->status == CompletionStatus::kTruncated ? Ending::kBroken
                                    : answer->deadline_exceeded                      ? Ending::kOverdue
                                    : answer->status == CompletionStatus::kRejected  ? Ending::kRefused
                                                                                     : Ending::kFailed);
      }
    }
    for (const core::Event& event : events) {
      if (const auto* ended = std::get_if<core::AttemptCompleted>(&event)) {
        const auto found = out_.find(ended->id);
        if (found != out_.end() && found->second == ended->attempt) out_.erase(found);
      }
    }
  }

  std::mt19937_64 random_;
  Micros now_{1'764'576'000'000'000}, mono_{77'000'000};
  core::RequestCoordinator gateway_;
  Tracker tracker_;
  std::vector<wire::Record> records_;
  std::map<RequestId, std::uint32_t> out_;
  std::map<RequestId, std::pair<Micros, std::uint32_t>> arrived_;
  std::set<RequestId> answered_;
  std::map<RequestId, bool> stale_;
};

RC_GTEST_PROP(Trackers, CountsAreExactWhateverHappens, (std::uint64_t seed)) {
  Course course(seed);
  course.Run(300);
  course.Sum();
  RC_ASSERT(course.Left() == 0u);
  RC_ASSERT(course.recorded_came == course.came);
  RC_ASSERT(course.recorded_ended == course.came);
  RC_ASSERT(course.recorded_verdicts == course.verdicts);
  RC_ASSERT(course.recorded_attempts == course.sends);
  std::uint64_t bad = 0;
  for (const auto& [key, count] : course.verdicts) {
    const auto ending = static_cast<Ending>(key.second);
    if (ending != Ending::kInTime && ending != Ending::kStale && ending != Ending::kLeft) bad += count;
  }
  RC_ASSERT(course.bad == bad);  // each that went wrong leaves a trace
  RC_ASSERT(course.traces > bad);
}

// ---- The whole recorder on a disk. ----

class Folder {
 public:
  Folder() {
    char name[] = "/tmp/tinspan-record-XXXXXX";
    path = ::mkdtemp(name);
  }
  ~Folder() { fs::remove_all(path); }
  std::uint64_t Bytes() const {
    std::uint64_t sum = 0;
    for (const auto& entry : fs::directory_iterator(path)) {
      std::error_code gone;  // rotated away since the listing
      const auto size = entry.file_size(gone);
      if (!gone) sum += size;
    }
    return sum;
  }
  std::string path;
};

class Collected final : public Sink {
 public:
  void OnRecord(const SegmentName&, Micros, const wire::Record& record) override {
    records.push_back(record);
  }
  void OnTrouble(const Trouble& trouble) override { troubles.push_back(trouble); }
  std::vector<wire::Record> records;
  std::vector<Trouble> troubles;
  std::size_t Lines() const {
    return static_cast<std::size_t>(std::count_if(records.begin(), records.end(), [](auto& one) {
      return one.what_case() == wire::Record::kRouterLine;
    }));
  }
};

RecorderOptions MakeOptions(const Folder& folder) {
  return {.folder = folder.path,
          .name = "north",
          .version = "test",
          .front = "gateway",
          .config = 7,
          .classes = {"scans", "pages", "orders"},
          .zones = {"core", "edge"},
          .kinds = {"box", "store"},
          .rotation = {},
          .tracker = {},
          .seed = 1};
}
core::ClockReading ClocksNow() { return {net::UnixNow(), net::Now()}; }
void Write(Recorder& recorder, int lines, std::size_t size = 100) {
  for (int i = 0; i < lines; ++i) {
    const core::Commands commands{core::LogMessage{std::string(size, 'x')}};
    recorder.OnRound(ClocksNow(), {}, commands, 0);
  }
}

TEST(Recorders, WhatIsWrittenIsReadWhileItGrowsAndAfterItsEnd) {
  Folder folder;
  FolderReader reader({folder.path});
  Collected got;
  {
    Recorder recorder(MakeSettings(), MakeOptions(folder), ClocksNow());
    Write(recorder, 10);
    recorder.OnLifecycleEvent(ClocksNow(), core::LifecycleEvent::kStopping, 0, {}, 0);  // hands over
    while (got.Lines() < 10) reader.Poll(got);  // as soon as the thread has written
    Write(recorder, 10);
    recorder.OnLifecycleEvent(ClocksNow(), core::LifecycleEvent::kStopped, 0, {}, 0);
  }
  reader.Poll(got);
  reader.Finish(got);
  EXPECT_EQ(got.Lines(), 20u);
  EXPECT_TRUE(got.troubles.empty());
  EXPECT_EQ(got.records.front().header().name(), "north");
  EXPECT_EQ(got.records.back().life().what(), wire::Life::STOPPED);
}

TEST(Recorders, AQuotaIsNeverExceededAndTheNewestIsKept) {
  Folder folder;
  RecorderOptions options = MakeOptions(folder);
  options.rotation = {.segment_bytes = 20'000, .segment_age = Micros{600'000'000}, .total_bytes = 60'000};
  Recorder recorder(MakeSettings(), options, ClocksNow());
  std::uint64_t most = 0;
  for (int i = 0; i < 200; ++i) {
    Write(recorder, 20);
    recorder.OnLifecycleEvent(ClocksNow(), core::LifecycleEvent::kSignalReceived, i, {}, 0);
    most = std::max(most, folder.Bytes());
  }
  EXPECT_TRUE(recorder.IsOn());
  EXPECT_LE(most, 60'000u);
  Collected got;
  FolderReader reader({folder.path});
  reader.Poll(got);
  EXPECT_TRUE(got.troubles.empty());
}

TEST(Recorders, AMissingSegmentIsTold) {
  Folder folder;
  {
    RecorderOptions options = MakeOptions(folder);
    options.rotation = {.segment_bytes = 4'000, .segment_age = Micros{600'000'000}, .total_bytes = 1 << 20};
    Recorder recorder(MakeSettings(), options, ClocksNow());
    Write(recorder, 200);
  }
  std::vector<fs::path> files;
  for (const auto& entry : fs::directory_iterator(folder.path)) files.push_back(entry.path());
  std::sort(files.begin(), files.end());
  ASSERT_GT(files.size(), 4u);
  fs::remove(files[2]);
  Collected got;
  FolderReader reader({folder.path});
  reader.Poll(got);
  reader.Finish(got);
  ASSERT_EQ(got.troubles.size(), 1u);
  EXPECT_EQ(got.troubles[0].file, files[3].string());
  EXPECT_NE(got.troubles[0].what.find("1 segments are missing before this one, from number 3 on"),
            std::string::npos);
}

// A disk that fails for a while: what comes meanwhile is a gap, and recording goes on in another segment.
TEST(Recorders, GoesOnAfterADiskThatFailedForAWhile) {
  Folder folder;
  rlimit before{};
  ::getrlimit(RLIMIT_FSIZE, &before);
  std::size_t lines_before = 0;
  {
    Recorder recorder(MakeSettings(), MakeOptions(folder), ClocksNow());
    const rlimit small{8'000, before.rlim_max};
    ::setrlimit(RLIMIT_FSIZE, &small);  // EFBIG from there on
    for (int i = 0; i < 2000 && recorder.IsOn(); ++i) {
      Write(recorder, 20);
      recorder.OnLifecycleEvent(ClocksNow(), core::LifecycleEvent::kSignalReceived, 1, {}, 0);
    }
    ::setrlimit(RLIMIT_FSIZE, &before);
    ASSERT_FALSE(recorder.IsOn());
    Write(recorder, 20);
    Collected got;
    FolderReader reader({folder.path});
    reader.Poll(got);
    lines_before = got.Lines();
    std::this_thread::sleep_for(std::chrono::milliseconds(1100));
    Write(recorder, 30);
    EXPECT_TRUE(recorder.IsOn());
    EXPECT_GE(recorder.Lost(), 20u);
  }
  Collected got;
  FolderReader reader({folder.path});
  reader.Poll(got);
  reader.Finish(got);
  EXPECT_EQ(got.Lines(), lines_before + 30);
}

TEST(Recorders, ADiskThatFailsTurnsItOffAndNothingElse) {
  Folder folder;
  rlimit before{};
  ::getrlimit(RLIMIT_FSIZE, &before);
  Recorder recorder(MakeSettings(), MakeOptions(folder), ClocksNow());
  const rlimit small{8'000, before.rlim_max};
  ::setrlimit(RLIMIT_FSIZE, &small);  // EFBIG from there on
  for (int i = 0; i < 2000 && recorder.IsOn(); ++i) {
    Write(recorder, 20);
    recorder.OnLifecycleEvent(ClocksNow(), core::LifecycleEvent::kSignalReceived, 1, {}, 0);
  }
  ::setrlimit(RLIMIT_FSIZE, &before);
  EXPECT_FALSE(recorder.IsOn());
  Write(recorder, 20);  // harmless
  Collected got;
  FolderReader reader({folder.path});
  reader.Poll(got);
  reader.Finish(got);
  EXPECT_GT(got.Lines(), 20u);         // what fitted is there
  EXPECT_EQ(got.troubles.size(), 1u);  // and the torn tail is told
  EXPECT_THROW(Recorder(
                   MakeSettings(),
                   [&] {
                     RecorderOptions options = MakeOptions(folder);
                     options.folder = "/proc/none";
                     return options;
                   }(),
                   ClocksNow()),
               std::runtime_error);
}

TEST(Recorders, TenThousandMembersFitIntoASegment) {
  Folder folder;
  Recorder recorder(MakeSettings(), MakeOptions(folder), ClocksNow());
  core::EndpointsUpdated told;
  told.source = "consul/shop-cache";
  told.version = 3;
  for (std::uint64_t id = 1; id <= 10'000; ++id) {
    told.endpoints.push_back({.id = ServerId{id}, .kind = KindId{0}, .zone = ZoneId{1}});
    told.names.push_back({"node-" + std::to_string(id) + "/c", "10.0.0.1:80"});
  }
  const std::vector<core::Event> events{told};
  recorder.OnRound(ClocksNow(), events, {}, 0);
  recorder.OnLifecycleEvent(ClocksNow(), core::LifecycleEvent::kSignalReceived, 1, {}, 0);
  EXPECT_TRUE(recorder.IsOn());
  Collected got;
  FolderReader reader({folder.path});
  while (got.records.empty() || got.records.back().life().what() != wire::Life::SIGNALLED) reader.Poll(got);
  EXPECT_TRUE(got.troubles.empty());
  EXPECT_GT(got.records.size(), 10'000u);
}

TEST(Readers, WhatIsNotKnownIsPassedOverAndTold) {
  wire::Record header, newer, plain;
  header.mutable_header()->set_name("north");
  header.mutable_header()->set_format(2);
  plain.set_router_line("hello");
  const std::string strange(
      "\xa2\x06\x03"
      "abc",
      6);  // field 100
  std::string bytes = Segment({plain.SerializeAsString(), header.SerializeAsString(), strange, "\x0f\x0f",
                               plain.SerializeAsString()});
  SegmentReader reader("f");
  reader.Feed(bytes);
  std::vector<std::string> told;
  int records = 0;
  for (auto state = reader.End(); state != SegmentReader::State::kMore; state = reader.End()) {
    state == SegmentReader::State::kTrouble ? told.push_back(reader.Problem().what)
                                            : static_cast<void>(++records);
  }
  ASSERT_EQ(told.size(), 4u);
  EXPECT_NE(told[0].find("before any header"), std::string::npos);
  EXPECT_NE(told[1].find("format 2, newer than 1"), std::string::npos);
  EXPECT_NE(told[2].find("kind that is not known"), std::string::npos);
  EXPECT_NE(told[3].find("cannot be read"), std::string::npos);
  EXPECT_EQ(records, 1);
  SegmentReader foreign("g");
  foreign.Feed("PNG and so on, long enough to be sure");
  EXPECT_EQ(foreign.End(), SegmentReader::State::kTrouble);
  EXPECT_EQ(foreign.End(), SegmentReader::State::kMore);
}

}  // namespace
}  // namespace tinspan::record
