// The flight recorder of a running instance: what the core is told, decides and does goes into segments in a
// folder (record.proto, frame.hpp; docs/design/record.md).
//
// Promises: it never stalls or fails a request; its memory is bounded; its files together never hold more
// than the bound. A disk that fails turns it off, with one line in the log.
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
  std::string folder;   // made if it is not there
  std::string name;     // of the instance: the files of one name in a folder belong together
  std::string version;  // of the program
  std::string front;    // "platform" or "gateway"
  std::uint64_t config = 0;
  std::vector<std::string> classes, zones, kinds;
  RotationRules rotation;
  TrackerRules tracker;
  std::uint64_t seed = 0;
};

class Recorder final : public core::Observer, public core::RecordFeed {
 public:
  // Throws std::runtime_error where the folder cannot be had.
  Recorder(const Settings& settings, RecorderOptions options, core::ClockReading clocks);
  ~Recorder() override;

  void OnRound(core::ClockReading clocks, std::span<const core::Event> events, const core::Commands& commands,
               std::size_t open) override;
  void OnLifecycleEvent(core::ClockReading clocks, core::LifecycleEvent what, int signal,
                        std::string_view text, std::size_t open) override;
  Micros MaxWait(Micros now) const override;

  // Of the open segment, the last 1 MB at most, as a segment's bytes.
  std::string Since(std::uint64_t& offset) const override;

  // False also while a disk that failed is left alone.
  bool IsOn() const { return !off_ && !resume_at_; }
  std::uint64_t Lost() const { return lost_; }  // records that were dropped

 private:
  void Take(core::ClockReading clocks);  // what is in records_
  void Encode(core::ClockReading clocks, wire::Record& record);
  void OpenSegment(core::ClockReading clocks);
  void HandOver();
  void Keep(std::string_view frames);
  void Suspend(const std::string& why);
  void TurnOff(const std::string& why);

  const RecorderOptions options_;
  const Settings settings_;
  const UnixTime incarnation_;
  Tracker tracker_;
  Rotation rotation_;
  Writer writer_;
  std::uint32_t segment_ = 0;
  Micros base_{0};  // of the open segment, by the clock that never steps
  std::vector<wire::Record> records_;
  Writer::Order order_;
  std::string scratch_;
  Micros handed_{0};               // mono
  std::string recent_;             // frames
  std::uint64_t recent_from_ = 1;  // offset of its first byte
  std::string first_;              // the open segment's header, as a frame
  wire::Gap gap_;
  std::uint64_t lost_ = 0;
  bool off_ = false;                 // until the next start
  std::optional<Micros> resume_at_;  // the disk failed: until then nothing is written
  Micros resume_delay_{0};
};

}  // namespace tinspan::record
