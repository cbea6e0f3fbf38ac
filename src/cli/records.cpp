#include "cli/records.hpp"

#include <algorithm>
#include <iostream>
#include <map>
#include <optional>
#include <stdexcept>

#include "record/folder.hpp"
#include "record/json.hpp"
#include "setup/time_text.hpp"

namespace tinspan::cli {
namespace {

namespace po = boost::program_options;
using record::SegmentName;
namespace wire = record::wire;

// The value of a text option; empty if it is not given.
std::string TextOf(const Values& values, const char* option) {
  return values.count(option) > 0 ? values[option].as<std::string>() : std::string();
}

void PrintReadError(const record::ReadError& error) {
  std::cerr << error.file << ": offset " << error.offset << ": " << error.message << "\n";
}

using Incarnation = std::pair<std::string, std::int64_t>;

// Sums up the records of each incarnation.
class Summary final : public record::RecordSink {
 public:
  struct Totals {
    record::Dictionary dictionary;
    std::map<std::uint32_t, bool> segments;
    std::optional<Micros> from, to;
    std::uint64_t records = 0, requests = 0, traces = 0, dropped_records = 0;
    std::string end = "no end";  // the process was killed, so its recorder wrote no Life record at the end
  };
  void OnRecord(const SegmentName& from, Micros at, const wire::Record& record) override {
    Totals& totals = incarnations[{from.prefix, from.incarnation}];
    totals.dictionary.Apply(record);
    totals.segments[from.segment] = true;
    totals.from = std::min(totals.from.value_or(at), at);
    totals.to = std::max(totals.to.value_or(at), at);
    ++totals.records;
    if (record.has_trace()) ++totals.traces;
    if (record.has_gap()) totals.dropped_records += record.gap().records();
    for (int i = 1; record.has_window() && i < record.window().ended_size(); i += 2) {
      totals.requests += record.window().ended(i);
    }
    if (record.has_life() && record.life().what() == wire::Life::STOPPED) totals.end = "stopped";
    if (record.has_life() && record.life().what() == wire::Life::CUT) totals.end = "cut";
  }
  void OnReadError(const record::ReadError& error) override {
    PrintReadError(error);
    ++read_errors;
  }
  std::map<Incarnation, Totals> incarnations;
  std::uint64_t read_errors = 0;
};

// Prints the records that pass the filters as JSON lines.
class Printer final : public record::RecordSink {
 public:
  explicit Printer(const Values& values)
      : from_(TimeOption(values, "from")),
        to_(TimeOption(values, "to")),
        kind_(TextOf(values, "kind")),
        server_(TextOf(values, "server")),
        class_(TextOf(values, "class")),
        request_(values.count("request") > 0 ? std::optional(values["request"].as<std::uint64_t>())
                                             : std::nullopt) {
    if (!kind_.empty() && !record::IsKind(kind_)) {
      throw UsageError{
          "option '--kind': expected one of heartbeat, life, server, members, purge, window, trace, router, "
          "lost, gap, header, not '" +
          kind_ + "'"};
    }
  }
  void OnRecord(const SegmentName& from, Micros at, const wire::Record& record) override {
    record::Dictionary& dictionary = dictionaries_[{from.prefix, from.incarnation}];
    dictionary.Apply(record);
    if ((from_ && at < *from_) || (to_ && at > *to_)) return;
    if (!kind_.empty() && record::KindOf(record) != kind_) return;
    if (request_ && !(record.has_trace() && record.trace().request() == *request_)) return;
    auto json = record::ToJson(dictionary, at, record);
    if (!server_.empty() && !HasMember(json, {"server", "source", "name"}, server_)) return;
    if (!class_.empty() && !HasMember(json, {"class"}, class_)) return;
    std::cout << json.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace) << "\n";
  }
  void OnReadError(const record::ReadError& error) override {
    PrintReadError(error);
    has_troubles_ = true;
  }
  bool HasTroubles() const { return has_troubles_; }

 private:
  // Whether one of these members has this value, in `json` itself or nested in it.
  static bool HasMember(const nlohmann::ordered_json& json, std::initializer_list<std::string_view> members,
                        const std::string& value) {
    for (const auto& [key, member] : json.items()) {
      if (member.is_structured() && HasMember(member, members, value)) return true;
      if (member == value && std::find(members.begin(), members.end(), key) != members.end()) return true;
    }
    return false;
  }
  std::optional<Micros> from_, to_;
  std::string kind_, server_, class_;
  std::optional<std::uint64_t> request_;
  std::map<Incarnation, record::Dictionary> dictionaries_;
  bool has_troubles_ = false;
};

}  // namespace

std::uint64_t ReadRecords(const std::vector<std::string>& paths, record::RecordSink& sink) {
  record::FolderReader reader(paths);
  if (reader.Poll(sink) == 0) {
    throw std::runtime_error(paths[0] + ": no records are here (NAME.START.NUMBER.tsrec)");
  }
  reader.Finish(sink);
  return reader.Bytes();
}

std::optional<Micros> TimeOption(const Values& values, const char* option) {
  const std::string text = TextOf(values, option);
  if (text.empty()) return std::nullopt;
  const auto time = ParseTime(text);
  if (!time) {
    throw UsageError{std::string("option '--") + option +
                     "': expected a time such as 2026-12-01T14:03:00Z or @1764597780.5, not '" + text + "'"};
  }
  return time;
}

void AddRecordsCatOptions(Options& options) {
  options.add_options()("from", po::value<std::string>()->value_name("TIME"),
                        "not before, as 2026-12-01T14:03:00Z")(
      "to", po::value<std::string>()->value_name("TIME"), "not after")(
      "kind", po::value<std::string>()->value_name("KIND"),
      "heartbeat, life, server, members, purge, window, trace, router, lost, gap or header")(
      "server", po::value<std::string>()->value_name("NAME"), "what names this server")(
      "class", po::value<std::string>()->value_name("NAME"), "what names this class")(
      "request", po::value<std::uint64_t>()->value_name("NUMBER"), "the trace of this request");
}

int RunRecordsList(const Values&, const std::vector<std::string>& arguments) {
  Summary summary;
  const std::uint64_t bytes = ReadRecords(arguments, summary);
  for (const auto& [key, totals] : summary.incarnations) {
    std::cout << totals.dictionary.Header().name() << "  started " << FormatTime(Micros{key.second})
              << "  records " << FormatTime(totals.from.value_or(Micros{0})) << " to "
              << FormatTime(totals.to.value_or(Micros{0})) << "  " << totals.segments.size() << " segments  "
              << totals.requests << " requests  " << totals.traces << " traces  " << totals.end;
    if (totals.dropped_records > 0) std::cout << "  " << totals.dropped_records << " records dropped";
    std::cout << "\n";
  }
  std::cout << summary.incarnations.size() << " lives, " << bytes << " bytes, " << summary.read_errors
            << " troubles\n";
  return 0;
}

int RunRecordsCat(const Values& values, const std::vector<std::string>& arguments) {
  Printer printer(values);
  ReadRecords(arguments, printer);
  return printer.HasTroubles() ? 1 : 0;
}

int RunRecordsVerify(const Values&, const std::vector<std::string>& arguments) {
  Summary summary;
  const std::uint64_t bytes = ReadRecords(arguments, summary);
  std::uint64_t records = 0;
  for (const auto& [key, totals] : summary.incarnations) records += totals.records;
  std::cout << records << " records in " << bytes << " bytes, " << summary.read_errors << " troubles\n";
  return summary.read_errors == 0 ? 0 : 1;
}

}  // namespace tinspan::cli
