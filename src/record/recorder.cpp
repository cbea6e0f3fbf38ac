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

constexpr std::size_t kMaxPendingBytes = 4 << 20;  // held in memory while the disk does not keep up
constexpr std::size_t kBatchBytes = 64 << 10;      // a batch of this size is handed to the writer at once
constexpr Micros kBatchInterval{100'000};          // a smaller one after this time
constexpr std::size_t kMaxRecentBytes = 1 << 20;
// How long recording is suspended after a disk failure: the delay doubles with each failure in a row.
constexpr Micros kMinResumeDelay{1'000'000};
constexpr Micros kMaxResumeDelay{60'000'000};

// Creates the folder if needed. Returns the segments of earlier incarnations, the oldest first. Throws
// std::runtime_error if the folder cannot be created or read.
std::vector<SegmentFile> FindOldSegments(const RecorderOptions& options) {
  namespace fs = std::filesystem;
  if (::mkdir(options.folder.c_str(), 0700) != 0 && errno != EEXIST) {
    throw std::runtime_error(options.folder + ": " + std::strerror(errno));
  }
  const std::string prefix = FilePrefix(options.name);
  std::vector<SegmentFile> out;
  std::error_code error;
  for (const auto& entry : fs::directory_iterator(options.folder, error)) {
    const std::string name = entry.path().filename().string();
    if (!name.starts_with(prefix) || !name.ends_with(kSegmentSuffix)) continue;
    // A file of another instance, whose longer name starts with the same prefix, has more dots.
    if (std::count(name.begin() + static_cast<std::ptrdiff_t>(prefix.size()), name.end(), '.') != 2) continue;
    std::error_code size_error;
    const auto bytes = entry.file_size(size_error);
    out.push_back({entry.path().string(), size_error ? 0 : bytes});
  }
  if (error) throw std::runtime_error(options.folder + ": " + error.message());
  std::sort(out.begin(), out.end(),
            [](const auto& left, const auto& right) { return left.name < right.name; });
  return out;
}

}  // namespace

Recorder::Recorder(const Settings& settings, RecorderOptions options, core::ClockReading clocks)
    : options_(std::move(options)),
      settings_(settings),
      incarnation_(clocks.wall),
      tracker_(settings, options_.tracker, options_.seed),
      rotation_(options_.rotation, FindOldSegments(options_)) {
  OnLifecycleEvent(clocks, core::LifecycleEvent::kStarted, 0, {}, 0);
  HandToWriter();  // so that the start is on disk even if the process ends soon
}

Recorder::~Recorder() {
  if (is_off_) return;
  HandToWriter();
}

void Recorder::OnRound(core::ClockReading clocks, std::span<const core::Event> events,
                       const core::Commands& commands, std::size_t open_requests) {
  if (is_off_) return;
  if (resume_at_ && clocks.now >= *resume_at_) resume_at_.reset();
  tracker_.RecordRound(clocks.wall, clocks.now, events, commands, open_requests, records_);
  if (!records_.empty()) EncodeRecords(clocks);
  if (batch_.bytes.size() >= kBatchBytes ||
      (!batch_.bytes.empty() && clocks.now - handed_over_at_ >= kBatchInterval))
    HandToWriter();
}

void Recorder::OnLifecycleEvent(core::ClockReading clocks, core::LifecycleEvent event, int signal,
                                std::string_view text, std::size_t open_requests) {
  if (is_off_) return;
  if (event == core::LifecycleEvent::kStopped || event == core::LifecycleEvent::kShutdownTimedOut)
    tracker_.Flush(clocks.now, records_);
  wire::Record& record = records_.emplace_back();
  record.set_at_us(clocks.now.count());
  wire::Life& life = *record.mutable_life();
  life.set_what(static_cast<wire::Life::What>(static_cast<int>(event) + 1));
  life.set_signal(static_cast<std::uint32_t>(signal));
  life.set_open(static_cast<std::uint32_t>(open_requests));
  life.set_text(std::string(text));
  EncodeRecords(clocks);
  HandToWriter();
}

Micros Recorder::MaxWait(Micros now) const {
  if (is_off_) return Micros::max();
  Micros due = tracker_.NextDueAt();
  if (!batch_.bytes.empty()) due = std::min(due, handed_over_at_ + kBatchInterval);
  if (resume_at_) due = std::min(due, std::max(*resume_at_, now));
  return std::max(due - now, Micros{0});
}

void Recorder::EncodeRecords(core::ClockReading clocks) {
  std::vector<wire::Record> records = std::exchange(records_, {});
  if (resume_at_ || writer_.PendingBytes() > kMaxPendingBytes) {
    for (const wire::Record& record : records) gap_.set_bytes(gap_.bytes() + record.ByteSizeLong());
    gap_.set_records(gap_.records() + records.size());
    dropped_records_ += records.size();
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
  if (is_off_) return;
  // An upper bound by a few bytes: at_us still holds the whole monotonic time, which takes the most bytes.
  const std::size_t max_frame_size = record.ByteSizeLong() + kFrameHeaderSize;
  if (max_frame_size > kMaxMessageSize) {
    ++dropped_records_;
    gap_.set_records(gap_.records() + 1);
    return;
  }
  if (!rotation_.Fits(max_frame_size, clocks.now)) OpenSegment(clocks);
  if (!IsOn()) return;
  record.set_at_us(record.at_us() - segment_started_at_.count());
  encode_buffer_.clear();
  record.AppendToString(&encode_buffer_);
  const std::size_t old_size = batch_.bytes.size();
  AppendFrame(batch_.bytes, encode_buffer_);
  rotation_.AddBytes(batch_.bytes.size() - old_size);
  AppendRecent(std::string_view(batch_.bytes).substr(old_size));
}

void Recorder::AppendRecent(std::string_view frames) {
  recent_frames_.append(frames);
  if (recent_frames_.size() <= 2 * kMaxRecentBytes) return;
  // Whole frames are dropped, so that the rest starts with a frame.
  std::size_t dropped = 0;
  while (recent_frames_.size() - dropped > kMaxRecentBytes)
    dropped += FrameSize(std::string_view(recent_frames_).substr(dropped));
  recent_frames_.erase(0, dropped);
  recent_offset_ += dropped;
}

std::string Recorder::Since(std::uint64_t& offset) const {
  if (is_off_) return {};
  const std::uint64_t end = recent_offset_ + recent_frames_.size();
  std::string out;
  if (offset >= recent_offset_ && offset <= end) {
    out = recent_frames_.substr(static_cast<std::size_t>(offset - recent_offset_));
  } else {
    out.append(kMagic).append(header_frame_);
    std::vector<wire::Record> servers;
    tracker_.AppendServers(servers);
    for (const wire::Record& server : servers) AppendFrame(out, server.SerializeAsString());
    out.append(recent_frames_);
  }
  offset = end;
  return out;
}

void Recorder::OpenSegment(core::ClockReading clocks) {
  HandToWriter();
  if (!IsOn()) return;
  segment_started_at_ = clocks.now;
  char file_number[48];
  std::snprintf(file_number, sizeof file_number, "%016lld.%06u",
                static_cast<long long>(incarnation_.SinceEpoch().count()), ++segment_number_);
  const std::string path =
      options_.folder + "/" + FilePrefix(options_.name) + file_number + std::string(kSegmentSuffix);
  batch_.old_paths = rotation_.OpenSegment(path, clocks.now);
  batch_.new_path = path;

  wire::Record header_record;
  wire::Header& header = *header_record.mutable_header();
  header.set_format(kFormat);
  header.set_name(options_.name);
  header.set_incarnation(incarnation_.SinceEpoch().count());
  header.set_segment(segment_number_);
  header.set_version(options_.version);
  header.set_config(options_.config);
  header.set_wall_us(clocks.wall.SinceEpoch().count());
  header.set_mono_us(segment_started_at_.count());
  header.set_front(options_.front);
  header.set_sample_ppm(options_.tracker.sample_ppm);
  for (std::size_t i = 0; i < settings_.classes.size(); ++i) {
    const ClassSettings& class_settings = settings_.classes[i];
    wire::Class& out = *header.add_classes();
    out.set_name(i < options_.classes.size() ? options_.classes[i] : std::to_string(i));
    out.set_aim_us(class_settings.latency_objective.count());
    out.set_deadline_us(class_settings.deadline.count());
    out.set_worth(class_settings.priority_weight);
    out.set_late_worth(class_settings.late_weight);
    out.set_stale_worth(class_settings.stale_weight);
  }
  for (const std::string& zone : options_.zones) header.add_zones(zone);
  for (const std::string& kind : options_.kinds) header.add_kinds(kind);
  batch_.bytes.append(kMagic);
  header_frame_.clear();
  AppendFrame(header_frame_, header_record.SerializeAsString());
  // From here on record times are relative to the start of the new segment, so readers of the last one have
  // to start over: skipping an offset invalidates theirs. Offsets only ever grow.
  recent_offset_ += recent_frames_.size() + 1;
  recent_frames_.clear();
  batch_.bytes.append(header_frame_);
  std::vector<wire::Record> servers;
  tracker_.AppendServers(servers);
  for (const wire::Record& server : servers) AppendFrame(batch_.bytes, server.SerializeAsString());
  batch_.bytes.append(header_frame_);  // again, in case the first copy is damaged
  rotation_.AddBytes(batch_.bytes.size());
  const std::size_t max_bytes = std::min(options_.rotation.segment_bytes, options_.rotation.total_bytes / 2);
  if (batch_.bytes.size() > max_bytes / 2) {
    TurnOff("a segment of " + std::to_string(max_bytes) + " bytes is too small for " +
            std::to_string(servers.size()) + " servers");
  }
}

void Recorder::HandToWriter() {
  handed_over_at_ = net::Now();
  if (!batch_.bytes.empty()) writer_.Enqueue(std::exchange(batch_, {}));
  const std::string failure = writer_.TakeFailure();
  if (!failure.empty()) Suspend(failure);
}

// A full or failing disk may recover. Records that arrive until then are counted in a Gap record, and
// recording continues in a new segment.
void Recorder::Suspend(const std::string& reason) {
  resume_delay_ = std::clamp(2 * resume_delay_, kMinResumeDelay, kMaxResumeDelay);
  resume_at_ = net::Now() + resume_delay_;
  batch_ = {};
  rotation_.CloseSegment();
  log::Error("record.suspended",
             {{"reason", reason}, {"lost", dropped_records_}, {"retry_ms", resume_delay_.count() / 1000}},
             "recording is suspended for {} ms: {}; {} records were dropped so far",
             resume_delay_.count() / 1000, reason, dropped_records_);
}

void Recorder::TurnOff(const std::string& reason) {
  if (std::exchange(is_off_, true)) return;
  batch_ = {};
  records_.clear();
  log::Error("record.off", {{"reason", reason}, {"lost", dropped_records_}},
             "recording is off until the next start: {}; {} records were dropped so far", reason,
             dropped_records_);
}

}  // namespace tinspan::record
