// Unit tests of the flight recorder: damaged frames, the size limit on disk, exact counts and disk failures.
// Properties print the seed that made them fail.
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
#include "record/dictionary.hpp"
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

struct FrameContents {
  std::vector<std::string> messages;
  std::vector<std::pair<std::uint64_t, std::uint64_t>> damage;  // offset, size
};
// Feeds the bytes in pieces of `piece_size`, like a growing file.
FrameContents ReadFrames(std::string_view bytes, std::size_t piece_size) {
  FrameContents out;
  FrameReader reader;
  const auto read_available = [&](bool is_at_end) {
    while (true) {
      const auto state = is_at_end ? reader.End() : reader.Next();
      if (state == FrameReader::State::kMessage) {
        out.messages.emplace_back(reader.Message());
      } else if (state == FrameReader::State::kDamage) {
        out.damage.emplace_back(reader.DamageOffset(), reader.DamageSize());
      } else {
        return;
      }
    }
  };
  for (std::size_t offset = 0; offset < bytes.size(); offset += piece_size) {
    reader.Feed(bytes.substr(offset, piece_size));
    read_available(false);
  }
  read_available(true);
  return out;
}

TEST(Frames, TruncationAtAnyByteLosesOnlyTheLastMessage) {
  const std::vector<std::string> messages{"first", std::string(300, 'x'), "the last message"};
  const std::string whole = Segment(messages);
  const std::size_t last = whole.size() - kFrameHeaderSize - messages[2].size();
  for (std::size_t size = last; size < whole.size(); ++size) {
    const FrameContents found = ReadFrames(std::string_view(whole).substr(0, size), 7);
    ASSERT_EQ(found.messages, std::vector<std::string>(messages.begin(), messages.end() - 1));
    if (size == last) {
      ASSERT_TRUE(found.damage.empty());
    } else {
      ASSERT_EQ(found.damage, (decltype(found.damage){{last, size - last}}));
    }
  }
}

RC_GTEST_PROP(Frames, AChangedByteLosesOneMessageAndIsReported, ()) {
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
  const FrameContents found = ReadFrames(whole, static_cast<std::size_t>(*rc::gen::inRange(1, 64)));
  messages.erase(messages.begin() + static_cast<std::ptrdiff_t>(hit));
  RC_ASSERT(found.messages == messages);
  RC_ASSERT(found.damage.size() == 1u && found.damage[0].first == starts[hit]);
}

// Longer than an incomplete frame whose length is trusted (frame.cpp): the reader searches behind it, finds
// nothing and must still return it once it is complete.
TEST(Frames, ALargeIncompleteMessageIsReadOnceItIsComplete) {
  const std::vector<std::string> messages{"first", std::string(300'000, 'x'), std::string(90'000, 'y'),
                                          "last"};
  const FrameContents found = ReadFrames(Segment(messages), 10'000);
  EXPECT_EQ(found.messages, messages);
  EXPECT_TRUE(found.damage.empty());
}

RC_GTEST_PROP(Frames, ArbitraryBytesYieldNoMessages, ()) {
  std::string bytes = *rc::gen::string<std::string>();
  if (*rc::gen::arbitrary<bool>()) bytes = std::string(kMagic) + bytes;
  const FrameContents found = ReadFrames(bytes, static_cast<std::size_t>(*rc::gen::inRange(1, 16)));
  RC_ASSERT(found.messages.empty());
}

RC_GTEST_PROP(Rotations, TheSizeLimitHoldsAfterEveryStep, ()) {
  RotationRules rules;
  rules.segment_bytes = static_cast<std::uint64_t>(*rc::gen::inRange(100, 1000));
  rules.total_bytes = rules.segment_bytes * static_cast<std::uint64_t>(*rc::gen::inRange(2, 6));
  rules.segment_age = Micros{1000};
  std::map<std::string, std::uint64_t> disk;  // file sizes
  std::vector<SegmentFile> old_files;
  for (int i = *rc::gen::inRange(0, 4); i > 0; --i) {
    old_files.push_back({"old" + std::to_string(9 - i), rules.total_bytes / 4});
    disk[old_files.back().name] = old_files.back().bytes;
  }
  Rotation rotation(rules, old_files);
  const auto disk_bytes = [&] {
    std::uint64_t sum = 0;
    for (const auto& [name, bytes] : disk) sum += bytes;
    return sum;
  };
  std::string open_name;
  Micros now{5000};
  int number = 0;
  for (const int step : *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(1, 100))) {
    now += Micros{step % 7 == 0 ? -400 : step};
    const auto bytes = static_cast<std::uint64_t>(step);
    if (!rotation.Fits(bytes, now)) {
      open_name = "segment" + std::to_string(++number);
      for (const std::string& name : rotation.OpenSegment(open_name, now)) disk.erase(name);
      disk[open_name] = 0;
      RC_ASSERT(rotation.Fits(bytes, now));
    }
    disk[open_name] += bytes;
    rotation.AddBytes(bytes);
    RC_ASSERT(disk_bytes() <= rules.total_bytes);
    RC_ASSERT(disk_bytes() == rotation.TotalBytes());
  }
}

TEST(Latency, BucketsAreAnEighthOfADoublingWide) {
  for (std::int64_t micros = 1; micros < 100'000'000; micros = micros * 9 / 8 + 1) {
    const std::uint32_t bucket = LatencyBucket(Micros{micros});
    EXPECT_LE(LatencyBucketLowerEdge(bucket).count(), micros);
    EXPECT_LT(micros, LatencyBucketLowerEdge(bucket + 1).count() + 1);
    if (bucket > 0) {
      EXPECT_LT(LatencyBucketLowerEdge(bucket + 1).count(), LatencyBucketLowerEdge(bucket).count() * 1.1 + 2);
    }
  }
}

// ---- Counts, compared with the real core under random events. ----

Settings MakeSettings() {
  Settings settings;
  for (int i = 0; i < 3; ++i) {
    ClassSettings class_settings;
    class_settings.effect = i == 2 ? Effect::kIdempotencyKey : Effect::kIdempotent;
    class_settings.idempotency_scope = IdempotencyScope::kAll;
    class_settings.idempotency_window = Micros{6'000'000};
    class_settings.latency_objective = Micros{300'000};
    class_settings.deadline = Micros{1'500'000};
    class_settings.priority_weight = 1 + i;
    class_settings.late_weight = 0.2;
    class_settings.stale_weight = 0.7;
    class_settings.is_streamed = true;
    settings.classes.push_back(class_settings);
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

// Runs a RequestCoordinator and a Tracker on the same random events and counts what the tracker has to
// record.
class RandomRun {
 public:
  explicit RandomRun(std::uint64_t seed)
      : random_(seed),
        coordinator_(MakeSettings(), seed, mono_, {}),
        tracker_(MakeSettings(), {.sample_ppm = 300'000}, seed) {}

  void Run(int rounds) {
    Handle({Members(EndpointsEvent::Kind::kFull)});
    for (int i = 0; i < rounds; ++i) Handle(RandomEvents());
    for (int i = 0; i < 400; ++i) {  // until all deadlines have passed
      std::vector<core::Event> events;
      for (const auto& [id, attempt] : open_attempts_) {
        if (Chance(3))
          events.push_back(core::AttemptCompleted{.id = id, .attempt = attempt, .outcome = Outcome::kError});
      }
      Handle(events);
    }
    tracker_.Flush(mono_, records_);
  }

  std::map<std::uint32_t, std::uint64_t> received, recorded_received, recorded_ended;  // by class
  std::map<std::pair<std::uint32_t, std::uint32_t>, std::uint64_t> verdicts,
      recorded_verdicts;  // by class and ending
  std::uint64_t started_attempts = 0, recorded_attempts = 0, traces = 0, fault_traces = 0;
  std::size_t TrackedRequests() const { return tracker_.TrackedRequests(); }

  void SumRecords() {
    for (const wire::Record& record : records_) {
      if (record.has_trace()) {
        ++traces;
        RC_ASSERT(record.trace().attempts_size() <= 3);
        if (!record.trace().sampled()) ++fault_traces;
      }
      const wire::Window& window = record.window();
      for (int i = 0; i + 1 < window.came_size(); i += 2)
        recorded_received[window.came(i)] += window.came(i + 1);
      for (int i = 0; i + 1 < window.ended_size(); i += 2) {
        const auto class_id = window.ended(i) / 16 % 3;
        recorded_ended[static_cast<std::uint32_t>(class_id)] += window.ended(i + 1);
        recorded_verdicts[{static_cast<std::uint32_t>(class_id), window.ended(i) % 16}] +=
            window.ended(i + 1);
      }
      for (int i = 0; i + 1 < window.attempts_size(); i += 2) recorded_attempts += window.attempts(i + 1);
    }
  }

 private:
  // True once in `count` calls on average.
  bool Chance(int count) { return random_() % static_cast<unsigned>(count) == 0; }
  core::EndpointsUpdated Members(EndpointsEvent::Kind kind) {
    core::EndpointsUpdated update;
    update.kind = kind;
    for (std::uint64_t id = 11; id < 16; ++id) {
      if (id > 12 && Chance(4)) continue;
      const bool is_origin = id == 11;
      update.endpoints.push_back(
          {.id = ServerId{id},
           .availability = id > 12 && Chance(4) ? Availability::kDraining : Availability::kUp,
           .kind = KindId{is_origin ? 1u : 0u},
           .zone = ZoneId{is_origin ? 0u : 1u}});
      update.names.push_back({"s" + std::to_string(id), ""});
    }
    return update;
  }
  std::vector<core::Event> RandomEvents() {
    std::vector<core::Event> out;
    for (int i = static_cast<int>(random_() % 4); i > 0; --i) {
      core::RequestReceived request;
      request.id = coordinator_.NextRequestId();
      request.class_id = ClassId{static_cast<std::uint32_t>(random_() % 3)};
      request.time_left = Micros{1'500'000};
      request.object = ObjectId{1 + random_() % 20};
      request.group = GroupId{random_() % 4};
      request.size_kb = 10;
      arrived_[request.id] = {mono_, static_cast<std::uint32_t>(request.class_id)};
      ++received[static_cast<std::uint32_t>(request.class_id)];
      out.push_back(request);
    }
    for (const auto& [id, attempt] : std::map(open_attempts_)) {
      if (!Chance(3)) continue;
      core::AttemptCompleted completed{.id = id, .attempt = attempt};
      constexpr std::array kOutcomes{Outcome::kServed, Outcome::kServed, Outcome::kServed,
                                     Outcome::kServed, Outcome::kError,  Outcome::kRejected,
                                     Outcome::kReset,  Outcome::kMiss,   Outcome::kNotSent};
      completed.outcome = kOutcomes[random_() % kOutcomes.size()];
      completed.note = Chance(5) ? FillNote::kStaleHit : FillNote::kHit;
      completed.issued_at = mono_ - Micros{static_cast<std::int64_t>(random_() % 4'000'000)};
      if (Chance(3)) out.push_back(core::ResponseStarted{id, attempt, completed.issued_at});
      is_stale_[id] = completed.note == FillNote::kStaleHit;
      out.push_back(completed);
    }
    if (Chance(40)) out.push_back(Members(EndpointsEvent::Kind::kDelta));
    if (Chance(80)) out.push_back(Members(EndpointsEvent::Kind::kFull));
    if (Chance(15)) out.push_back(core::PurgeReceived{mono_, GroupId{random_() % 4}, std::nullopt});
    if (Chance(9) && !arrived_.empty()) {
      const RequestId id = arrived_.begin()->first;
      if (!answered_.contains(id)) CountVerdict(id, RequestOutcome::kClientDisconnected);
      out.push_back(core::ClientDisconnected{id});
    }
    return out;
  }
  void CountVerdict(RequestId id, RequestOutcome ending) {
    answered_.insert(id);
    ++verdicts[{arrived_.at(id).second, static_cast<std::uint32_t>(ending)}];
    arrived_.erase(id);
  }
  void Handle(const std::vector<core::Event>& events) {
    wall_ += Micros{10'000};
    mono_ += Micros{10'000};
    if (Chance(200)) wall_ -= Micros{1'000'000};  // the wall clock steps back
    core::Commands commands;
    coordinator_.Handle(mono_, events, commands);
    tracker_.RecordRound(UnixTime(wall_), mono_, events, commands, coordinator_.OpenRequests(), records_);
    for (const core::Command& command : commands) {
      if (const auto* start = std::get_if<core::StartAttempt>(&command)) {
        ++started_attempts;
        open_attempts_[start->action.id] = start->attempt;
      } else if (const auto* aborted = std::get_if<core::AbortAttempt>(&command)) {
        open_attempts_.erase(aborted->id);
      } else if (const auto* completion = std::get_if<core::CompleteRequest>(&command)) {
        if (answered_.contains(completion->id)) continue;
        const bool is_late = mono_ - arrived_.at(completion->id).first > Micros{300'000};
        const bool is_stale = is_stale_[completion->id];
        using core::CompletionStatus;
        RandomRun::CountVerdict(
            completion->id, completion->status == CompletionStatus::kServed
                                ? (is_late ? (is_stale ? RequestOutcome::kLateStale : RequestOutcome::kLate)
                                           : (is_stale ? RequestOutcome::kStale : RequestOutcome::kInTime))
                            : completion->status == CompletionStatus::kTruncated ? RequestOutcome::kTruncated
                            : completion->deadline_exceeded ? RequestOutcome::kDeadlineExceeded
                            : completion->status == CompletionStatus::kRejected ? RequestOutcome::kRejected
                                                                                : RequestOutcome::kFailed);
      }
    }
    for (const core::Event& event : events) {
      if (const auto* completed = std::get_if<core::AttemptCompleted>(&event)) {
        const auto found = open_attempts_.find(completed->id);
        if (found != open_attempts_.end() && found->second == completed->attempt) open_attempts_.erase(found);
      }
    }
  }

  std::mt19937_64 random_;
  Micros wall_{1'764'576'000'000'000}, mono_{77'000'000};
  core::RequestCoordinator coordinator_;
  Tracker tracker_;
  std::vector<wire::Record> records_;
  std::map<RequestId, std::uint32_t> open_attempts_;               // the number of the last attempt
  std::map<RequestId, std::pair<Micros, std::uint32_t>> arrived_;  // when, and class
  std::set<RequestId> answered_;
  std::map<RequestId, bool> is_stale_;
};

RC_GTEST_PROP(Trackers, CountsAreExactForRandomEvents, (std::uint64_t seed)) {
  RandomRun run(seed);
  run.Run(300);
  run.SumRecords();
  RC_ASSERT(run.TrackedRequests() == 0u);
  RC_ASSERT(run.recorded_received == run.received);
  RC_ASSERT(run.recorded_ended == run.received);
  RC_ASSERT(run.recorded_verdicts == run.verdicts);
  RC_ASSERT(run.recorded_attempts == run.started_attempts);
  std::uint64_t faults = 0;
  for (const auto& [key, count] : run.verdicts) {
    const auto ending = static_cast<RequestOutcome>(key.second);
    if (ending != RequestOutcome::kInTime && ending != RequestOutcome::kStale &&
        ending != RequestOutcome::kClientDisconnected)
      faults += count;
  }
  RC_ASSERT(run.fault_traces == faults);  // each request with a fault is traced
  RC_ASSERT(run.traces > faults);
}

// ---- The whole recorder, with files on disk. ----

// A temporary folder, removed at the end.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    char name[] = "/tmp/tinspan-record-XXXXXX";
    path = ::mkdtemp(name);
  }
  ~TemporaryFolder() { fs::remove_all(path); }
  std::uint64_t Bytes() const {
    std::uint64_t sum = 0;
    for (const auto& entry : fs::directory_iterator(path)) {
      std::error_code error;  // the file may have been deleted by rotation since the listing
      const auto size = entry.file_size(error);
      if (!error) sum += size;
    }
    return sum;
  }
  std::string path;
};

// Keeps everything that is read.
class Collected final : public RecordSink {
 public:
  void OnRecord(const SegmentName&, Micros, const wire::Record& record) override {
    records.push_back(record);
  }
  void OnReadError(const ReadError& error) override { read_errors.push_back(error); }
  std::vector<wire::Record> records;
  std::vector<ReadError> read_errors;
  // How many router lines were read.
  std::size_t Lines() const {
    return static_cast<std::size_t>(std::count_if(records.begin(), records.end(), [](auto& one) {
      return one.what_case() == wire::Record::kRouterLine;
    }));
  }
};

RecorderOptions MakeOptions(const TemporaryFolder& folder) {
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
// Records this many router lines of `size` bytes.
void WriteLines(Recorder& recorder, int lines, std::size_t size = 100) {
  for (int i = 0; i < lines; ++i) {
    const core::Commands commands{core::LogMessage{std::string(size, 'x')}};
    recorder.OnRound(ClocksNow(), {}, commands, 0);
  }
}

TEST(Recorders, RecordsAreReadWhileTheFileGrowsAndAfterItsEnd) {
  TemporaryFolder folder;
  FolderReader reader({folder.path});
  Collected got;
  {
    Recorder recorder(MakeSettings(), MakeOptions(folder), ClocksNow());
    WriteLines(recorder, 10);
    // A lifecycle event passes all records to the writer thread; then they are read once it has written them.
    recorder.OnLifecycleEvent(ClocksNow(), core::LifecycleEvent::kStopping, 0, {}, 0);
    while (got.Lines() < 10) reader.Poll(got);
    WriteLines(recorder, 10);
    recorder.OnLifecycleEvent(ClocksNow(), core::LifecycleEvent::kStopped, 0, {}, 0);
  }
  reader.Poll(got);
  reader.Finish(got);
  EXPECT_EQ(got.Lines(), 20u);
  EXPECT_TRUE(got.read_errors.empty());
  EXPECT_EQ(got.records.front().header().name(), "north");
  EXPECT_EQ(got.records.back().life().what(), wire::Life::STOPPED);
}

TEST(Recorders, TheSizeLimitIsNeverExceededAndRecordingContinues) {
  TemporaryFolder folder;
  RecorderOptions options = MakeOptions(folder);
  options.rotation = {.segment_bytes = 20'000, .segment_age = Micros{600'000'000}, .total_bytes = 60'000};
  Recorder recorder(MakeSettings(), options, ClocksNow());
  std::uint64_t most = 0;
  for (int i = 0; i < 200; ++i) {
    WriteLines(recorder, 20);
    recorder.OnLifecycleEvent(ClocksNow(), core::LifecycleEvent::kSignalReceived, i, {}, 0);
    most = std::max(most, folder.Bytes());
  }
  EXPECT_TRUE(recorder.IsOn());
  EXPECT_LE(most, 60'000u);
  Collected got;
  FolderReader reader({folder.path});
  reader.Poll(got);
  EXPECT_TRUE(got.read_errors.empty());
}

TEST(Recorders, AMissingSegmentIsReported) {
  TemporaryFolder folder;
  {
    RecorderOptions options = MakeOptions(folder);
    options.rotation = {.segment_bytes = 4'000, .segment_age = Micros{600'000'000}, .total_bytes = 1 << 20};
    Recorder recorder(MakeSettings(), options, ClocksNow());
    WriteLines(recorder, 200);
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
  ASSERT_EQ(got.read_errors.size(), 1u);
  EXPECT_EQ(got.read_errors[0].file, files[3].string());
  EXPECT_NE(got.read_errors[0].message.find("1 segments are missing before this one, from number 3 on"),
            std::string::npos);
}

// Records that arrive while the disk fails are dropped and counted; afterwards recording continues in a new
// segment.
TEST(Recorders, ResumesAfterATemporaryDiskFailure) {
  TemporaryFolder folder;
  rlimit before{};
  ::getrlimit(RLIMIT_FSIZE, &before);
  std::size_t lines_before = 0;
  {
    Recorder recorder(MakeSettings(), MakeOptions(folder), ClocksNow());
    const rlimit small{8'000, before.rlim_max};
    ::setrlimit(RLIMIT_FSIZE, &small);  // writes beyond it fail with EFBIG
    for (int i = 0; i < 2000 && recorder.IsOn(); ++i) {
      WriteLines(recorder, 20);
      recorder.OnLifecycleEvent(ClocksNow(), core::LifecycleEvent::kSignalReceived, 1, {}, 0);
    }
    ::setrlimit(RLIMIT_FSIZE, &before);
    ASSERT_FALSE(recorder.IsOn());
    WriteLines(recorder, 20);
    Collected got;
    FolderReader reader({folder.path});
    reader.Poll(got);
    lines_before = got.Lines();
    std::this_thread::sleep_for(std::chrono::milliseconds(1100));
    WriteLines(recorder, 30);
    EXPECT_TRUE(recorder.IsOn());
    EXPECT_GE(recorder.DroppedRecords(), 20u);
  }
  Collected got;
  FolderReader reader({folder.path});
  reader.Poll(got);
  reader.Finish(got);
  EXPECT_EQ(got.Lines(), lines_before + 30);
}

TEST(Recorders, ADiskFailureStopsOnlyTheRecording) {
  TemporaryFolder folder;
  rlimit before{};
  ::getrlimit(RLIMIT_FSIZE, &before);
  Recorder recorder(MakeSettings(), MakeOptions(folder), ClocksNow());
  const rlimit small{8'000, before.rlim_max};
  ::setrlimit(RLIMIT_FSIZE, &small);  // writes beyond it fail with EFBIG
  for (int i = 0; i < 2000 && recorder.IsOn(); ++i) {
    WriteLines(recorder, 20);
    recorder.OnLifecycleEvent(ClocksNow(), core::LifecycleEvent::kSignalReceived, 1, {}, 0);
  }
  ::setrlimit(RLIMIT_FSIZE, &before);
  EXPECT_FALSE(recorder.IsOn());
  WriteLines(recorder, 20);  // must have no effect
  Collected got;
  FolderReader reader({folder.path});
  reader.Poll(got);
  reader.Finish(got);
  EXPECT_GT(got.Lines(), 20u);            // the records before the limit are readable
  EXPECT_EQ(got.read_errors.size(), 1u);  // and the incomplete last one is reported
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
  TemporaryFolder folder;
  Recorder recorder(MakeSettings(), MakeOptions(folder), ClocksNow());
  core::EndpointsUpdated update;
  update.source = "consul/shop-cache";
  update.version = 3;
  for (std::uint64_t id = 1; id <= 10'000; ++id) {
    update.endpoints.push_back({.id = ServerId{id}, .kind = KindId{0}, .zone = ZoneId{1}});
    update.names.push_back({"node-" + std::to_string(id) + "/c", "10.0.0.1:80"});
  }
  const std::vector<core::Event> events{update};
  recorder.OnRound(ClocksNow(), events, {}, 0);
  recorder.OnLifecycleEvent(ClocksNow(), core::LifecycleEvent::kSignalReceived, 1, {}, 0);
  EXPECT_TRUE(recorder.IsOn());
  Collected got;
  FolderReader reader({folder.path});
  while (got.records.empty() || got.records.back().life().what() != wire::Life::SIGNALLED) reader.Poll(got);
  EXPECT_TRUE(got.read_errors.empty());
  EXPECT_GT(got.records.size(), 10'000u);
}

TEST(Readers, UnknownRecordsAreSkippedAndReported) {
  wire::Record header, newer, plain;
  header.mutable_header()->set_name("north");
  header.mutable_header()->set_format(2);
  plain.set_router_line("hello");
  const std::string unknown_field(
      "\xa2\x06\x03"
      "abc",
      6);  // field 100
  std::string bytes = Segment({plain.SerializeAsString(), header.SerializeAsString(), unknown_field,
                               "\x0f\x0f", plain.SerializeAsString()});
  SegmentReader reader("f");
  reader.Feed(bytes);
  std::vector<std::string> read_errors;
  int records = 0;
  for (auto state = reader.End(); state != SegmentReader::State::kMore; state = reader.End()) {
    state == SegmentReader::State::kError ? read_errors.push_back(reader.Error().message)
                                          : static_cast<void>(++records);
  }
  ASSERT_EQ(read_errors.size(), 4u);
  EXPECT_NE(read_errors[0].find("before any header"), std::string::npos);
  EXPECT_NE(read_errors[1].find("format 2, newer than 1"), std::string::npos);
  EXPECT_NE(read_errors[2].find("kind that is not known"), std::string::npos);
  EXPECT_NE(read_errors[3].find("cannot be read"), std::string::npos);
  EXPECT_EQ(records, 1);
  SegmentReader foreign("g");
  foreign.Feed("PNG and so on, long enough to be sure");
  EXPECT_EQ(foreign.End(), SegmentReader::State::kError);
  EXPECT_EQ(foreign.End(), SegmentReader::State::kMore);
}

}  // namespace
}  // namespace tinspan::record
