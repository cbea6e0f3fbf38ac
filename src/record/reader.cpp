#include "record/reader.hpp"

#include <cctype>
#include <charconv>
#include <filesystem>
#include <utility>

namespace tinspan::record {
namespace {

namespace fs = std::filesystem;

template <class Number>
std::optional<Number> ReadWhole(std::string_view text) {
  Number value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || text.empty()) return std::nullopt;
  return value;
}

// Figures that no recorder writes would lead every sum behind them astray.
bool IsPlausible(const wire::Record& record) {
  constexpr std::int64_t kMostTime = 4'100'000'000'000'000;  // the year 2099, in microseconds
  constexpr std::int64_t kMostSpan = 100'000'000'000'000;    // three years
  constexpr std::uint64_t kMostCount = std::uint64_t{1} << 40;
  constexpr int kMostClasses = 256;
  const auto time = [](std::int64_t value) { return value >= 0 && value <= kMostTime; };
  if (record.at_us() < -kMostSpan || record.at_us() > kMostSpan) return false;
  if (record.has_header()) {
    const wire::Header& header = record.header();
    for (const wire::Class& of : header.classes()) {
      for (const double worth : {of.worth(), of.late_worth(), of.stale_worth()}) {
        if (!(worth >= 0 && worth <= 1e9)) return false;
      }
    }
    return time(header.wall_us()) && time(header.mono_us()) && time(header.incarnation()) &&
           header.classes_size() <= kMostClasses;
  }
  if (record.has_heartbeat()) return time(record.heartbeat().wall_us()) && time(record.heartbeat().mono_us());
  if (record.has_purge()) return time(record.purge().made_us());
  if (record.has_members()) {
    for (const wire::Member& one : record.members().members()) {
      if (!time(one.started_us())) return false;
    }
  }
  if (record.has_window()) {
    for (const auto* const counts : {&record.window().ended(), &record.window().attempts()}) {
      for (int i = 1; i < counts->size(); i += 2) {
        if (counts->Get(i) > kMostCount) return false;
      }
    }
  }
  return true;
}

}  // namespace

// ---- One segment. ----

SegmentReader::State SegmentReader::Told(std::uint64_t offset, std::string what) {
  trouble_ = {file_, offset, std::move(what)};
  return State::kTrouble;
}

SegmentReader::State SegmentReader::Next() { return Read(frames_.Next()); }

SegmentReader::State SegmentReader::End() { return Read(frames_.End()); }

SegmentReader::State SegmentReader::Read(FrameReader::State state) {
  using Frame = FrameReader::State;
  if (foreign_) return State::kMore;
  if (state == Frame::kForeign) {
    foreign_ = true;
    return Told(0, "no segment of ours, or one framed in a way that is not known here: passed over whole");
  }
  if (state == Frame::kDamage) {
    return Told(frames_.DamageAt(),
                std::to_string(frames_.DamageSize()) + " bytes that cannot be read, passed over");
  }
  if (state == Frame::kMore) return State::kMore;
  offset_ = frames_.MessageAt();
  const std::string_view message = frames_.Message();
  if (!record_.ParseFromArray(message.data(), static_cast<int>(message.size()))) {
    return Told(offset_, "a message that is whole and cannot be read, passed over");
  }
  if (!IsPlausible(record_)) return Told(offset_, "a record with figures that cannot be, passed over");
  if (record_.has_header()) {
    base_ = record_.header().wall_us();
    header_ = base_;
    if (record_.header().format() > kFormat && !std::exchange(newer_told_, true)) {
      return Told(offset_, "format " + std::to_string(record_.header().format()) + ", newer than " +
                               std::to_string(kFormat) + ": what is not known here is passed over");
    }
  } else if (!header_) {
    return Told(offset_, "a record before any header: when it was is not known, passed over");
  }
  if (record_.what_case() == wire::Record::WHAT_NOT_SET) {
    return Told(offset_, "a record of a kind that is not known here, passed over");
  }
  return State::kRecord;
}

std::string FilePrefix(std::string_view name) {
  std::string out(name.substr(0, 100));
  for (char& c : out) {
    if (!std::isalnum(static_cast<unsigned char>(c)) && c != '-') c = '_';
  }
  return out + ".";
}

std::optional<SegmentName> ReadSegmentName(const std::string& path) {
  std::string name = fs::path(path).filename().string();
  if (!name.ends_with(kSuffix)) return std::nullopt;
  name.resize(name.size() - kSuffix.size());
  const std::size_t last = name.rfind('.');
  const std::size_t first =
      last == std::string::npos || last == 0 ? std::string::npos : name.rfind('.', last - 1);
  if (first == std::string::npos || first == 0) return std::nullopt;
  const auto incarnation =
      ReadWhole<std::int64_t>(std::string_view(name).substr(first + 1, last - first - 1));
  const auto segment = ReadWhole<std::uint32_t>(std::string_view(name).substr(last + 1));
  if (!incarnation || !segment) return std::nullopt;
  return SegmentName{path, name.substr(0, first), *incarnation, *segment};
}

}  // namespace tinspan::record
