#include "record/recorder.hpp"

#include <sys/stat.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <stdexcept>
#include <utility>

#include "log/log.hpp"
#include "net/clock.hpp"
#include "record/frame.hpp"

namespace tinspan::record {
namespace {

constexpr std::size_t kMostWaiting = 4 << 20;  // bytes in memory for a disk that does not keep up
constexpr std::size_t kBlock = 64 << 10;
constexpr Micros kHandOver{100'000};
constexpr std::size_t kMostRecent = 1 << 20;
// How long a disk that failed is left alone, doubled each time in a row.
constexpr Micros kMinResumeDelay{1'000'000};
constexpr Micros kMaxResumeDelay{60'000'000};

// What earlier incarnations left, the oldest first.
std::vector<SegmentFile> Old(const RecorderOptions& options) {
  namespace fs = std::filesystem;
  if (::mkdir(options.folder.c_str(), 0700) != 0 && errno != EEXIST) {
    throw std::runtime_error(options.folder + ": " + std::strerror(errno));
  }
  const std::string prefix = FilePrefix(options.name);
  std::vector<SegmentFile> out;
  std::error_code error;
  for (const auto& entry : fs::directory_iterator(options.folder, error)) {
    const std::string name = entry.path().filename().string();
    if (!name.starts_with(prefix) || !name.ends_with(kSuffix)) continue;
    // A longer name that begins alike has a dot elsewhere.
    if (std::count(name.begin() + static_cast<std::ptrdiff_t>(prefix.size()), name.end(), '.') != 2) continue;
    std::error_code size_error;
    const auto bytes = entry.file_size(size_error);
    out.push_back({entry.path().string(), size_error ? 0 : bytes});
  }
  if (error) throw std::runtime_error(options.folder + ": " + error.message());
  std::sort(out.begin(), out.end(), [](const auto& a, const auto& b) { return a.name < b.name; });
  return out;
}

}  // namespace

Recorder::Recorder(const Settings& settings, RecorderOptions options, core::ClockReading clocks)
    : options_(std::move(options)),
      settings_(settings),
      incarnation_(clocks.wall),
      tracker_(settings, options_.tracker, options_.seed),
      rotation_(options_.rotation, Old(options_)) {
  OnLifecycleEvent(clocks, core::LifecycleEvent::kStarted, 0, {}, 0);
  HandOver();  // so that a start is seen, however soon the end comes
}

Recorder::~Recorder() {
  if (off_) return;
  HandOver();
}

void Recorder::OnRound(core::ClockReading clocks, std::span<const core::Event> events,
                       const core::Commands& commands, std::size_t open) {
  if (off_) return;
  if (resume_at_ && clocks.now >= *resume_at_) resume_at_.reset();
  tracker_.Round(clocks.wall, clocks.now, events, commands, open, records_);
  if (!records_.empty()) Take(clocks);
  if (order_.bytes.size() >= kBlock || (!order_.bytes.empty() && clocks.now - handed_ >= kHandOver))
    HandOver();
}

void Recorder::OnLifecycleEvent(core::ClockReading clocks, core::LifecycleEvent what, int signal,
                                std::string_view text, std::size_t open) {
  if (off_) return;
  if (what == core::LifecycleEvent::kStopped || what == core::LifecycleEvent::kShutdownTimedOut)
    tracker_.Flush(clocks.now, records_);
  wire::Record& record = records_.emplace_back();
  record.set_at_us(clocks.now.count());
  wire::Life& life = *record.mutable_life();
  life.set_what(static_cast<wire::Life::What>(static_cast<int>(what) + 1));
  life.set_signal(static_cast<std::uint32_t>(signal));
  life.set_open(static_cast<std::uint32_t>(open));
  life.set_text(std::string(text));
  Take(clocks);
  HandOver();
}

Micros Recorder::MaxWait(Micros now) const {
  if (off_) return Micros::max();
  Micros due = tracker_.NextDue();
  if (!order_.bytes.empty()) due = std::min(due, handed_ + kHandOver);
  if (resume_at_) due = std::min(due, std::max(*resume_at_, now));
  return std::max(due - now, Micros{0});
}

void Recorder::Take(core::ClockReading clocks) {
  std::vector<wire::Record> records = std::exchange(records_, {});
  if (resume_at_ || writer_.Waiting() > kMostWaiting) {
    for (const wire::Record& record : records) gap_.set_bytes(gap_.bytes() + record.ByteSizeLong());
    gap_.set_records(gap_.records() + records.size());
    lost_ += records.size();
    return;
  }
  if (gap_.records() > 0) {
    wire::Record record;
    record.set_at_us(clocks.now.count());
    *record.mutable_gap() = std::exchange(gap_, {});
    Encode(clocks, record);
  }
  for (wire::Record& record : records) Encode(clocks, record);
}

void Recorder::Encode(core::ClockReading clocks, wire::Record& record) {
  if (off_) return;
  // The size is the same to a few bytes whatever the time is set off from; a whole time is the longest.
  const std::size_t most = record.ByteSizeLong() + kFrameHead;
  if (most > kMostMessage) {
    ++lost_;
    gap_.set_records(gap_.records() + 1);
    return;
  }
  if (!rotation_.Fits(most, clocks.now)) OpenSegment(clocks);
  if (!IsOn()) return;
  record.set_at_us(record.at_us() - base_.count());
  scratch_.clear();
  record.AppendToString(&scratch_);
  const std::size_t before = order_.bytes.size();
  AppendFrame(order_.bytes, scratch_);
  rotation_.Wrote(order_.bytes.size() - before);
  Keep(std::string_view(order_.bytes).substr(before));
}

void Recorder::Keep(std::string_view frames) {
  recent_.append(frames);
  if (recent_.size() <= 2 * kMostRecent) return;
  // Whole frames go: the rest begins with one.
  std::size_t gone = 0;
  while (recent_.size() - gone > kMostRecent) gone += FrameSize(std::string_view(recent_).substr(gone));
  recent_.erase(0, gone);
  recent_from_ += gone;
}

std::string Recorder::Since(std::uint64_t& offset) const {
  if (off_) return {};
  const std::uint64_t end = recent_from_ + recent_.size();
  std::string out;
  if (offset >= recent_from_ && offset <= end) {
    out = recent_.substr(static_cast<std::size_t>(offset - recent_from_));
  } else {
    out.append(kMagic).append(first_);
    std::vector<wire::Record> servers;
    tracker_.Restate(servers);
    for (const wire::Record& one : servers) AppendFrame(out, one.SerializeAsString());
    out.append(recent_);
  }
  offset = end;
  return out;
}

void Recorder::OpenSegment(core::ClockReading clocks) {
  HandOver();
  if (!IsOn()) return;
  base_ = clocks.now;
  char number[48];
  std::snprintf(number, sizeof number, "%016lld.%06u",
                static_cast<long long>(incarnation_.SinceEpoch().count()), ++segment_);
  const std::string path = options_.folder + "/" + FilePrefix(options_.name) + number + std::string(kSuffix);
  order_.remove = rotation_.Open(path, clocks.now);
  order_.open = path;

  wire::Record first;
  wire::Header& header = *first.mutable_header();
  header.set_format(kFormat);
  header.set_name(options_.name);
  header.set_incarnation(incarnation_.SinceEpoch().count());
  header.set_segment(segment_);
  header.set_version(options_.version);
  header.set_config(options_.config);
  header.set_wall_us(clocks.wall.SinceEpoch().count());
  header.set_mono_us(base_.count());
  header.set_front(options_.front);
  header.set_sample_ppm(options_.tracker.sample_ppm);
  for (std::size_t i = 0; i < settings_.classes.size(); ++i) {
    const ClassSettings& of = settings_.classes[i];
    wire::Class& out = *header.add_classes();
    out.set_name(i < options_.classes.size() ? options_.classes[i] : std::to_string(i));
    out.set_aim_us(of.latency_objective.count());
    out.set_deadline_us(of.deadline.count());
    out.set_worth(of.priority_weight);
    out.set_late_worth(of.late_weight);
    out.set_stale_worth(of.stale_weight);
  }
  for (const std::string& zone : options_.zones) header.add_zones(zone);
  for (const std::string& kind : options_.kinds) header.add_kinds(kind);
  order_.bytes.append(kMagic);
  first_.clear();
  AppendFrame(first_, first.SerializeAsString());
  // Times are set off from another moment now: who is behind begins anew. Offsets only ever grow.
  recent_from_ += recent_.size() + 1;
  recent_.clear();
  order_.bytes.append(first_);
  std::vector<wire::Record> servers;
  tracker_.Restate(servers);
  for (const wire::Record& one : servers) AppendFrame(order_.bytes, one.SerializeAsString());
  order_.bytes.append(first_);  // should the one before be spoilt
  rotation_.Wrote(order_.bytes.size());
  const std::size_t room = std::min(options_.rotation.segment_bytes, options_.rotation.total_bytes / 2);
  if (order_.bytes.size() > room / 2) {
    TurnOff("a segment of " + std::to_string(room) + " bytes is too small for " +
            std::to_string(servers.size()) + " servers");
  }
}

void Recorder::HandOver() {
  handed_ = net::Now();
  if (!order_.bytes.empty()) writer_.Give(std::exchange(order_, {}));
  const std::string failure = writer_.TakeFailure();
  if (!failure.empty()) Suspend(failure);
}

// The disk may be full or broken for a while only. What comes meanwhile is counted as a gap, and recording
// goes on in a segment of its own.
void Recorder::Suspend(const std::string& why) {
  resume_delay_ = std::clamp(2 * resume_delay_, kMinResumeDelay, kMaxResumeDelay);
  resume_at_ = net::Now() + resume_delay_;
  order_ = {};
  rotation_.CloseSegment();
  log::Error("record.suspended",
             {{"reason", why}, {"lost", lost_}, {"retry_ms", resume_delay_.count() / 1000}},
             "recording is suspended for {} ms: {}; {} records were dropped before",
             resume_delay_.count() / 1000, why, lost_);
}

void Recorder::TurnOff(const std::string& why) {
  if (std::exchange(off_, true)) return;
  order_ = {};
  records_.clear();
  log::Error("record.off", {{"reason", why}, {"lost", lost_}},
             "recording is off until the next start: {}; {} records were dropped before", why, lost_);
}

}  // namespace tinspan::record
