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
