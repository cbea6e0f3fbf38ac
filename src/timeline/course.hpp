// The course of each incarnation as its records tell it, by its own clock: what the story is made of. Pure;
// it is fed records and keeps sums, not records, so that hours of many instances fit into memory.
#pragma once

#include <array>
#include <map>
#include <string>
#include <vector>

#include "record/book.hpp"
#include "record/reader.hpp"

namespace tinspan::timeline {

namespace wire = record::wire;
using ServerKey = std::uint64_t;  // ServerId: the same at all instances

struct ClassCell {  // of one class in one second
  std::uint64_t came = 0;
  std::uint64_t repeats = 0;
  std::array<std::uint64_t, record::kEndings> ended{};
  std::uint64_t Ended() const;
  ClassCell& operator+=(const ClassCell& o);
};
struct ServerCell {  // of one server in kServerBin
  std::uint32_t attempts = 0;
  std::uint32_t bad = 0;  // anything but served, full, miss and cancelled
  std::uint32_t full = 0;
};
inline constexpr Micros kServerBin{5'000'000};
inline constexpr Micros kLatencyBin{10'000'000};
using LatencyCounts = std::array<std::uint32_t, 256>;
// The upper edge of the bucket in which that share is reached; 0 where nothing was counted.
Micros Quantile(const LatencyCounts& counts, double share);

struct ServerFacts {
  std::string name, address, zone, kind;
};

// All times are this incarnation's own clock: its wall clock at the start, carried on by one that never
// steps.
struct Life {
  struct Change {
    Micros at{0};
    ServerKey server = 0;
    Availability state = Availability::kUp;
    Availability before = Availability::kRemoved;
    Micros started{0};   // by the server's own word; 0: long ago
    bool first = false;  // of the first list from its source
  };
  struct Word {  // what a source told
    Micros at{0};
    std::string source;
    std::uint64_t version = 0;
  };
  struct Purge {
    Micros at{0};
    Micros made{0};
    std::uint64_t group = 0, object = 0;
  };
  struct Drained {
    Micros told{0};
    ServerKey server = 0;
    std::uint32_t sent = 0;
    Micros last{0};  // after it was told
  };
  struct Held {
    Micros told{0};
    std::uint64_t group = 0, object = 0;
    std::uint32_t served = 0;
    Micros last_sent{0}, last_served{0};  // after it was told
  };
  struct Turn {
    Micros at{0};
    wire::Life::What what = wire::Life::UNKNOWN;
    std::uint32_t signal = 0;
    std::uint32_t open = 0;
    std::string text;
  };
  struct Step {  // the wall clock was seen to have moved by itself
    Micros at{0};
    Micros by{0};
  };
  struct Silence {  // connections that broke with requests open
    Micros at{0};
    ServerKey server = 0;
    std::uint32_t connections = 0, open = 0;
  };
  struct Line {
    Micros at{0};
    std::string text;
  };
  struct Bad {
    Micros at{0};
    wire::Trace trace;
  };

  std::string name;
  std::int64_t incarnation = 0;
  record::Book book;
  Micros wall{0}, mono{0};  // of the first header
  Micros first{0}, last{0};
  bool ended = false;                      // it says so itself
  std::int64_t open = 0;                   // requests that came and have not ended, as far as is recorded
  std::map<ServerKey, std::uint32_t> out;  // attempts, as the last heartbeat told
  Micros beat{0};                          // when that was
  std::uint64_t records = 0, dropped = 0;
  std::vector<Change> changes;
  std::vector<Word> words;
  std::vector<Purge> purges;
  std::vector<Drained> drained;
  std::vector<Held> held;
  std::vector<Turn> turns;
  std::vector<Step> steps;
  std::vector<Silence> silences;
  std::vector<Line> lines;
  std::vector<Micros> gaps;
  std::vector<Bad> worst;
  std::map<std::int64_t, std::vector<ClassCell>> seconds;           // by whole second
  std::map<ServerKey, std::map<std::int64_t, ServerCell>> servers;  // by place of the bin
  std::map<std::int64_t, std::map<std::uint32_t, LatencyCounts>> latency;
  std::map<ServerKey, Availability> states;  // as told last
};

// Reads lives out of records.
class Course final : public record::Sink {
 public:
  void OnRecord(const record::SegmentName& from, Micros at, const wire::Record& record) override;
  void OnTrouble(const record::Trouble& trouble) override { troubles_.push_back(trouble); }

  const std::map<std::pair<std::string, std::int64_t>, Life>& Lives() const { return lives_; }
  const std::map<ServerKey, ServerFacts>& Servers() const { return servers_; }
  const std::vector<record::Trouble>& Troubles() const { return troubles_; }

 private:
  void Take(Life& life, Micros at, const wire::Window& window);
  void Take(Life& life, Micros at, const wire::Members& members);
  void Take(Life& life, Micros at, const wire::Trace& trace);
  void Take(Life& life, Micros at, const wire::Heartbeat& beat);
  static ServerKey KeyOf(const Life& life, std::uint32_t number);

  std::map<std::pair<std::string, std::int64_t>, Life> lives_;
  std::map<ServerKey, ServerFacts> servers_;
  std::vector<record::Trouble> troubles_;
};

}  // namespace tinspan::timeline
