// Records of hours in a minute: requests run through the recorder's own Tracker under a made-up clock, and
// what it writes goes into segments as a Recorder lays them out. For measuring what reads them.
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

constexpr Micros kStart{1'764'576'000'000'000};
constexpr Micros kRound{100'000};

Settings MakeSettings() {
  Settings settings;
  for (int i = 0; i < 3; ++i) {
    ClassSettings one;
    one.latency_objective = Micros{400'000};
    one.deadline = Micros{2'500'000};
    one.priority_weight = 1 + i;
    settings.classes.push_back(one);
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
    for (Micros at{0}; at < length; at += kRound) {
      now_ = at;
      std::vector<core::Event> events = std::exchange(next_, {});
      core::Commands commands;
      // A little trouble each ten minutes: a server drains and returns, some groups are purged, others fail.
      const auto second = at / Micros{1'000'000} % 600;
      const bool whole = at % Micros{1'000'000} == Micros{0};
      if (whole && second == 100) Members(5, 6, Availability::kDraining);
      if (whole && second == 130) Members(5, 6, Availability::kUp);
      if (whole && second >= 200 && second < 210) {
        events.push_back(
            core::PurgeReceived{kStart + now_, GroupId{static_cast<std::uint64_t>(second)}, std::nullopt});
      }
      const bool trouble = second >= 300 && second < 308;
      End(trouble, events, commands);
      Come(rate, events, commands);
      tracker_.Round(UnixTime(kStart + now_), Micros{1'000'000} + now_, events, commands, open_.size(),
                     records_);
      Write();
    }
    std::printf("%s: %llu requests, %llu bytes, %.1f a request\n", name_.c_str(),
                static_cast<unsigned long long>(requests_), static_cast<unsigned long long>(bytes_),
                static_cast<double>(bytes_) / static_cast<double>(requests_));
  }

 private:
  void Members(std::uint64_t from, std::uint64_t to, Availability state) {
    core::EndpointsUpdated told;
    told.kind = EndpointsEvent::Kind::kDelta;
    told.source = "consul/shop-cache";
    told.version = ++version_;
    for (std::uint64_t id = from; id < to; ++id) {
      told.endpoints.push_back({.id = ServerId{id + 1},
                                .availability = state,
                                .kind = KindId{id == 0 ? 1u : 0u},
                                .zone = ZoneId{0}});
      told.names.push_back({"node-" + std::to_string(id) + "/c", "127.0.0.1:" + std::to_string(7000 + id)});
    }
    next_.push_back(std::move(told));
  }
  void Come(double rate, std::vector<core::Event>& events, core::Commands& commands) {
    const int count = std::poisson_distribution<int>(rate * 0.1)(random_);
    for (int i = 0; i < count; ++i) {
      core::RequestReceived came;
      came.id = RequestId{++requests_};
      came.class_id = ClassId{static_cast<std::uint32_t>(random_() % 3)};
      came.time_left = Micros{2'500'000};
      came.object = ObjectId{random_()};
      came.group = GroupId{random_() % 256};
      came.size_kb = 100;
      events.push_back(came);
      core::StartAttempt send;
      send.action.id = came.id;
      send.action.server = ServerId{1 + random_() % 20};
      send.action.source = ServerId{1};
      send.action.expires_at = kStart + now_ + came.time_left;
      commands.push_back(send);
      open_.emplace(came.id, now_ + Micros{20'000} + Micros{static_cast<std::int64_t>(random_() % 250'000)});
    }
  }
  void End(bool trouble, std::vector<core::Event>& events, core::Commands& commands) {
    for (auto one = open_.begin(); one != open_.end();) {
      if (one->second > now_) {
        ++one;
        continue;
      }
      const bool bad = trouble && random_() % 3 == 0;
      events.push_back(core::AttemptCompleted{
          .id = one->first, .outcome = bad ? Outcome::kError : Outcome::kServed, .note = FillNote::kHit});
      core::CompleteRequest answer;
      answer.id = one->first;
      answer.status = bad ? core::CompletionStatus::kRejected : core::CompletionStatus::kServed;
      commands.push_back(answer);
      one = open_.erase(one);
    }
  }
  void Write() {
    for (wire::Record& record : std::exchange(records_, {})) {
      const std::size_t most = record.ByteSizeLong() + record::kFrameHead;
      if (!rotation_.Fits(most, kStart + now_)) Open();
      record.set_at_us(record.at_us() - base_.count());
      std::string frame;
      record::AppendFrame(frame, record.SerializeAsString());
      Put(frame);
    }
  }
  void Open() {
    char number[48];
    std::snprintf(number, sizeof number, "%016lld.%06u", static_cast<long long>(kStart.count()), ++segment_);
    const std::string path =
        folder_ + "/" + record::FilePrefix(name_) + number + std::string(record::kSuffix);
    rotation_.Open(path, kStart + now_);
    file_ = std::ofstream(path, std::ios::binary);
    base_ = Micros{1'000'000} + now_;
    wire::Record first;
    wire::Header& header = *first.mutable_header();
    header.set_format(record::kFormat);
    header.set_name(name_);
    header.set_incarnation(kStart.count());
    header.set_segment(segment_);
    header.set_wall_us((kStart + now_).count());
    header.set_mono_us(base_.count());
    for (const char* const name : {"scans", "pages", "orders"}) {
      wire::Class& of = *header.add_classes();
      of.set_name(name);
      of.set_worth(1);
    }
    std::string bytes(record::kMagic);
    record::AppendFrame(bytes, first.SerializeAsString());
    std::vector<wire::Record> servers;
    tracker_.Restate(servers);
    for (const wire::Record& one : servers) record::AppendFrame(bytes, one.SerializeAsString());
    Put(bytes);
  }
  void Put(const std::string& bytes) {
    file_ << bytes;
    bytes_ += bytes.size();
    rotation_.Wrote(bytes.size());
  }

  std::string folder_, name_;
  std::mt19937_64 random_;
  Tracker tracker_;
  record::Rotation rotation_;
  std::ofstream file_;
  Micros now_{0}, base_{0};
  std::uint32_t segment_ = 0;
  std::uint64_t requests_ = 0, bytes_ = 0, version_ = 0;
  std::map<RequestId, Micros> open_;
  std::vector<core::Event> next_;
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
