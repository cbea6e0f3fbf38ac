// The flight recorder of a running instance: writes what the core receives, decides and does into segments in
// a folder (record.proto, frame.hpp; docs/design/record.md).
//
// Guarantees: it never delays or fails a request; its memory is bounded; its files together never exceed the
// size limit. When the disk fails, recording is suspended with one line in the log, and is tried again later.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/observer.hpp"
#include "record/reader.hpp"
#include "record/rotation.hpp"
#include "record/tracker.hpp"
#include "record/writer.hpp"

namespace tinspan::record {

struct RecorderOptions {
  std::string folder;        // created if it does not exist
  std::string name;          // of the instance; files of the same name in a folder count as one set
  std::string version;       // of the program
  std::string front;         // "platform" or "gateway"
  std::uint64_t config = 0;  // a digest of the configuration
  std::vector<std::string> classes, zones, kinds;
  RotationRules rotation;
  TrackerRules tracker;
  std::uint64_t seed = 0;
};

// Not thread-safe: all calls come from the event loop's thread.
class Recorder final : public core::Observer, public core::RecordFeed {
 public:
  // Throws std::runtime_error if the folder cannot be created or read.
  Recorder(const Settings& settings, RecorderOptions options, core::ClockReading clocks);
  ~Recorder() override;

  void OnRound(core::ClockReading clocks, std::span<const core::Event> events, const core::Commands& commands,
               std::size_t open_requests) override;
  void OnLifecycleEvent(core::ClockReading clocks, core::LifecycleEvent event, int signal,
                        std::string_view text, std::size_t open_requests) override;
  Micros MaxWait(Micros now) const override;

  // Returns the records of the open segment as the bytes of a segment; if there are more than 2 MB of them,
  // only the last 1 to 2 MB.
  std::string Since(std::uint64_t& offset) const override;

  // False while recording is suspended after a disk failure, and once it is turned off.
  bool IsOn() const { return !is_off_ && !resume_at_; }
  std::uint64_t DroppedRecords() const { return dropped_records_; }

 private:
  void EncodeRecords(core::ClockReading clocks);
  void Encode(core::ClockReading clocks, wire::Record& record);
  void OpenSegment(core::ClockReading clocks);
  void HandToWriter();
  void AppendRecent(std::string_view frames);
  void Suspend(const std::string& reason);
  void TurnOff(const std::string& reason);

  const RecorderOptions options_;
  const Settings settings_;
  const UnixTime incarnation_;
  Tracker tracker_;
  Rotation rotation_;
  Writer writer_;
  std::uint32_t segment_number_ = 0;
  Micros segment_started_at_{0};       // monotonic, of the open segment
  std::vector<wire::Record> records_;  // not yet encoded
  Writer::Batch batch_;                // encoded and not yet handed to the writer
  std::string encode_buffer_;
  Micros handed_over_at_{0};         // monotonic
  std::string recent_frames_;        // the latest frames of the open segment, for Since
  std::uint64_t recent_offset_ = 1;  // offset of the first byte of recent_frames_
  std::string header_frame_;         // of the open segment
  wire::Gap gap_;                    // dropped records for which no Gap record is written yet
  std::uint64_t dropped_records_ = 0;
  bool is_off_ = false;              // until the next start of the program
  std::optional<Micros> resume_at_;  // set after a disk failure: nothing is written before this time
  Micros resume_delay_{0};
};

}  // namespace tinspan::record
