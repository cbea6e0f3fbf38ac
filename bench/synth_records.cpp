// Generates the records of hours within a minute, for measuring the programs that read them: synthetic
// requests run through the recorder's Tracker under a simulated clock, and its records are written to
// segments as a Recorder writes them.
//
//   synth_records FOLDER [HOURS=4] [INSTANCES=4] [RATE=170]
#include <sys/stat.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <map>
#include <random>

#include "record/frame.hpp"
#include "record/reader.hpp"
#include "record/rotation.hpp"
#include "record/tracker.hpp"

namespace {

using namespace tinspan;
using record::Tracker;
namespace wire = record::wire;

constexpr Micros kStart{1'764'576'000'000'000};  // Unix time
constexpr Micros kRoundInterval{100'000};

Settings MakeSettings() {
  Settings settings;
  for (int i = 0; i < 3; ++i) {
    ClassSettings class_settings;
    class_settings.latency_objective = Micros{400'000};
    class_settings.deadline = Micros{2'500'000};
    class_settings.priority_weight = 1 + i;
    settings.classes.push_back(class_settings);
  }
  settings.purge_retention = Micros{6'000'000};
  return settings;
}

class Instance {
 public:
  Instance(std::string folder, int number)
      : folder_(std::move(folder)),
        name_("north-" + std::to_string(number)),
        random_(static_cast<std::uint64_t>(number)),
        tracker_(MakeSettings(), {}, static_cast<std::uint64_t>(number)),
        rotation_({.segment_bytes = 8 << 20,
                   .segment_age = Micros{600'000'000},
                   .total_bytes = std::uint64_t{64} << 30},
                  {}) {}

  void Run(Micros length, double rate) {
    Members(0, 20, Availability::kUp);
    for (Micros at{0}; at < length; at += kRoundInterval) {
      now_ = at;
      std::vector<core::Event> events = std::exchange(next_events_, {});
      core::Commands commands;
      // Every ten minutes a server drains and returns, some groups are purged and some requests fail.
      const auto second = at / Micros{1'000'000} % 600;
      const bool is_full_second = at % Micros{1'000'000} == Micros{0};
      if (is_full_second && second == 100) Members(5, 6, Availability::kDraining);
      if (is_full_second && second == 130) Members(5, 6, Availability::kUp);
      if (is_full_second && second >= 200 && second < 210) {
        events.push_back(
            core::PurgeReceived{kStart + now_, GroupId{static_cast<std::uint64_t>(second)}, std::nullopt});
      }
      const bool is_failing = second >= 300 && second < 308;
      EndRequests(is_failing, events, commands);
      StartRequests(rate, events, commands);
      tracker_.RecordRound(UnixTime(kStart + now_), Micros{1'000'000} + now_, events, commands,
                           open_requests_.size(), records_);
      WriteRecords();
    }
    std::printf("%s: %llu requests, %llu bytes, %.1f a request\n", name_.c_str(),
                static_cast<unsigned long long>(requests_), static_cast<unsigned long long>(bytes_),
                static_cast<double>(bytes_) / static_cast<double>(requests_));
  }

 private:
  void Members(std::uint64_t from, std::uint64_t to, Availability state) {
    core::EndpointsUpdated update;
    update.kind = EndpointsEvent::Kind::kDelta;
    update.source = "consul/shop-cache";
    update.version = ++version_;
    for (std::uint64_t id = from; id < to; ++id) {
      update.endpoints.push_back({.id = ServerId{id + 1},
                                  .availability = state,
                                  .kind = KindId{id == 0 ? 1u : 0u},
                                  .zone = ZoneId{0}});
      update.names.push_back({"node-" + std::to_string(id) + "/c", "127.0.0.1:" + std::to_string(7000 + id)});
    }
    next_events_.push_back(std::move(update));
  }
  void StartRequests(double rate, std::vector<core::Event>& events, core::Commands& commands) {
    const int count = std::poisson_distribution<int>(rate * 0.1)(random_);
    for (int i = 0; i < count; ++i) {
      core::RequestReceived request;
      request.id = RequestId{++requests_};
      request.class_id = ClassId{static_cast<std::uint32_t>(random_() % 3)};
      request.time_left = Micros{2'500'000};
      request.object = ObjectId{random_()};
      request.group = GroupId{random_() % 256};
      request.size_kb = 100;
      events.push_back(request);
      core::StartAttempt send;
      send.action.id = request.id;
      send.action.server = ServerId{1 + random_() % 20};
      send.action.source = ServerId{1};
      send.action.expires_at = kStart + now_ + request.time_left;
      commands.push_back(send);
      open_requests_.emplace(request.id,
                             now_ + Micros{20'000} + Micros{static_cast<std::int64_t>(random_() % 250'000)});
    }
  }
  void EndRequests(bool is_failing, std::vector<core::Event>& events, core::Commands& commands) {
    for (auto entry = open_requests_.begin(); entry != open_requests_.end();) {
      if (entry->second > now_) {
        ++entry;
        continue;
      }
      const bool is_failed = is_failing && random_() % 3 == 0;
      events.push_back(core::AttemptCompleted{.id = entry->first,
                                              .outcome = is_failed ? Outcome::kError : Outcome::kServed,
                                              .note = FillNote::kHit});
      core::CompleteRequest completion;
      completion.id = entry->first;
      completion.status = is_failed ? core::CompletionStatus::kRejected : core::CompletionStatus::kServed;
      commands.push_back(completion);
      entry = open_requests_.erase(entry);
    }
  }
  void WriteRecords() {
    for (wire::Record& record : std::exchange(records_, {})) {
      const std::size_t max_frame_size = record.ByteSizeLong() + record::kFrameHeaderSize;
      if (!rotation_.Fits(max_frame_size, kStart + now_)) OpenSegment();
      record.set_at_us(record.at_us() - segment_started_at_.count());
      std::string frame;
      record::AppendFrame(frame, record.SerializeAsString());
      Append(frame);
    }
  }
  void OpenSegment() {
    char file_number[48];
    std::snprintf(file_number, sizeof file_number, "%016lld.%06u", static_cast<long long>(kStart.count()),
                  ++segment_number_);
    const std::string path =
        folder_ + "/" + record::FilePrefix(name_) + file_number + std::string(record::kSegmentSuffix);
    rotation_.OpenSegment(path, kStart + now_);
    file_ = std::ofstream(path, std::ios::binary);
    segment_started_at_ = Micros{1'000'000} + now_;
    wire::Record header_record;
    wire::Header& header = *header_record.mutable_header();
    header.set_format(record::kFormat);
    header.set_name(name_);
    header.set_incarnation(kStart.count());
    header.set_segment(segment_number_);
    header.set_wall_us((kStart + now_).count());
    header.set_mono_us(segment_started_at_.count());
    for (const char* const name : {"scans", "pages", "orders"}) {
      wire::Class& class_settings = *header.add_classes();
      class_settings.set_name(name);
      class_settings.set_worth(1);
    }
    std::string bytes(record::kMagic);
    record::AppendFrame(bytes, header_record.SerializeAsString());
    std::vector<wire::Record> servers;
    tracker_.AppendServers(servers);
    for (const wire::Record& server : servers) record::AppendFrame(bytes, server.SerializeAsString());
    Append(bytes);
  }
  void Append(const std::string& bytes) {
    file_ << bytes;
    bytes_ += bytes.size();
    rotation_.AddBytes(bytes.size());
  }

  std::string folder_, name_;
  std::mt19937_64 random_;
  Tracker tracker_;
  record::Rotation rotation_;
  std::ofstream file_;
  Micros now_{0}, segment_started_at_{0};
  std::uint32_t segment_number_ = 0;
  std::uint64_t requests_ = 0, bytes_ = 0, version_ = 0;
  std::map<RequestId, Micros> open_requests_;
  std::vector<core::Event> next_events_;
  std::vector<wire::Record> records_;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2) {
    std::fprintf(stderr, "usage: synth_records FOLDER [HOURS=4] [INSTANCES=4] [RATE=170]\n");
    return 2;
  }
  const double hours = argc > 2 ? std::atof(argv[2]) : 4, rate = argc > 4 ? std::atof(argv[4]) : 170;
  const int instances = argc > 3 ? std::atoi(argv[3]) : 4;
  ::mkdir(argv[1], 0700);
  for (int i = 0; i < instances; ++i) {
    Instance(argv[1], i).Run(Micros{static_cast<std::int64_t>(hours * 3600e6)}, rate);
  }
  return 0;
}
