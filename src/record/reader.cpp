#include "record/reader.hpp"

#include <cctype>
#include <charconv>
#include <filesystem>
#include <utility>

namespace tinspan::record {
namespace {

namespace fs = std::filesystem;

// Parses a text that holds nothing but a number.
template <class Number>
std::optional<Number> ParseNumber(std::string_view text) {
  Number value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || text.empty()) return std::nullopt;
  return value;
}

// Whether the record's values are ones that a recorder can write: any other value would distort all sums
// computed from it.
bool IsPlausible(const wire::Record& record) {
  constexpr std::int64_t kMaxTimeUs = 4'100'000'000'000'000;  // the year 2099
  constexpr std::int64_t kMaxSpanUs = 100'000'000'000'000;    // three years
  constexpr std::uint64_t kMaxCount = std::uint64_t{1} << 40;
  constexpr int kMaxClasses = 256;
  const auto is_time = [](std::int64_t value) { return value >= 0 && value <= kMaxTimeUs; };
  if (record.at_us() < -kMaxSpanUs || record.at_us() > kMaxSpanUs) return false;
  if (record.has_header()) {
    const wire::Header& header = record.header();
    for (const wire::Class& class_settings : header.classes()) {
      for (const double worth :
           {class_settings.worth(), class_settings.late_worth(), class_settings.stale_worth()}) {
        if (!(worth >= 0 && worth <= 1e9)) return false;
      }
    }
    return is_time(header.wall_us()) && is_time(header.mono_us()) && is_time(header.incarnation()) &&
           header.classes_size() <= kMaxClasses;
  }
  if (record.has_heartbeat())
    return is_time(record.heartbeat().wall_us()) && is_time(record.heartbeat().mono_us());
  if (record.has_purge()) return is_time(record.purge().made_us());
  if (record.has_members()) {
    for (const wire::Member& member : record.members().members()) {
      if (!is_time(member.started_us())) return false;
    }
  }
  if (record.has_window()) {
    for (const auto* const counts : {&record.window().ended(), &record.window().attempts()}) {
      for (int i = 1; i < counts->size(); i += 2) {
        if (counts->Get(i) > kMaxCount) return false;
      }
    }
  }
  return true;
}

}  // namespace

// ---- One segment. ----

SegmentReader::State SegmentReader::ReportError(std::uint64_t offset, std::string message) {
  error_ = {file_, offset, std::move(message)};
  return State::kError;
}

SegmentReader::State SegmentReader::Next() { return Decode(frames_.Next()); }

SegmentReader::State SegmentReader::End() { return Decode(frames_.End()); }

SegmentReader::State SegmentReader::Decode(FrameReader::State state) {
  using FrameState = FrameReader::State;
  if (is_foreign_) return State::kMore;
  if (state == FrameState::kForeign) {
    is_foreign_ = true;
    return ReportError(
        0, "no segment of ours, or one framed in a way that is not known here: passed over whole");
  }
  if (state == FrameState::kDamage) {
    return ReportError(frames_.DamageOffset(),
                       std::to_string(frames_.DamageSize()) + " bytes that cannot be read, passed over");
  }
  if (state == FrameState::kMore) return State::kMore;
  offset_ = frames_.MessageOffset();
  const std::string_view message = frames_.Message();
  if (!record_.ParseFromArray(message.data(), static_cast<int>(message.size()))) {
    return ReportError(offset_, "a message that is whole and cannot be read, passed over");
  }
  if (!IsPlausible(record_)) return ReportError(offset_, "a record with figures that cannot be, passed over");
  if (record_.has_header()) {
    segment_start_us_ = record_.header().wall_us();
    header_wall_us_ = segment_start_us_;
    if (record_.header().format() > kFormat && !std::exchange(has_reported_newer_format_, true)) {
      return ReportError(offset_, "format " + std::to_string(record_.header().format()) + ", newer than " +
                                      std::to_string(kFormat) + ": what is not known here is passed over");
    }
  } else if (!header_wall_us_) {
    return ReportError(offset_, "a record before any header: when it was is not known, passed over");
  }
  if (record_.what_case() == wire::Record::WHAT_NOT_SET) {
    return ReportError(offset_, "a record of a kind that is not known here, passed over");
  }
  return State::kRecord;
}

std::string FilePrefix(std::string_view name) {
  std::string out(name.substr(0, 100));
  for (char& character : out) {
    if (!std::isalnum(static_cast<unsigned char>(character)) && character != '-') character = '_';
  }
  return out + ".";
}

std::optional<SegmentName> ParseSegmentName(const std::string& path) {
  std::string name = fs::path(path).filename().string();
  if (!name.ends_with(kSegmentSuffix)) return std::nullopt;
  name.resize(name.size() - kSegmentSuffix.size());
  const std::size_t last_dot = name.rfind('.');
  const std::size_t first_dot =
      last_dot == std::string::npos || last_dot == 0 ? std::string::npos : name.rfind('.', last_dot - 1);
  if (first_dot == std::string::npos || first_dot == 0) return std::nullopt;
  const auto incarnation =
      ParseNumber<std::int64_t>(std::string_view(name).substr(first_dot + 1, last_dot - first_dot - 1));
  const auto segment = ParseNumber<std::uint32_t>(std::string_view(name).substr(last_dot + 1));
  if (!incarnation || !segment) return std::nullopt;
  return SegmentName{path, name.substr(0, first_dot), *incarnation, *segment};
}

}  // namespace tinspan::record
