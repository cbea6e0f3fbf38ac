#include "record/folder.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <stdexcept>
#include <utility>

#include "net/fd.hpp"

namespace tinspan::record {
namespace {

namespace fs = std::filesystem;

constexpr std::size_t kReadBytes = 1 << 20;

}  // namespace

FolderReader::FolderReader(std::vector<std::string> paths) : paths_(std::move(paths)) {
  for (const std::string& path : paths_) {
    std::error_code error;
    const fs::file_status status = fs::status(path, error);
    if (!fs::exists(status)) throw std::runtime_error(path + ": there is no such folder");
    if (fs::is_regular_file(status)) {
      if (!ParseSegmentName(path)) {
        throw std::runtime_error(path + ": expected a folder of records, or a segment NAME.START.NUMBER" +
                                 std::string(kSegmentSuffix));
      }
      if (::access(path.c_str(), R_OK) != 0) throw std::runtime_error(path + ": " + std::strerror(errno));
    } else if (fs::is_directory(status)) {
      fs::directory_iterator entries(path, error);
      if (error) throw std::runtime_error(path + ": " + error.message());
    } else {
      throw std::runtime_error(path + ": expected a folder of records");
    }
  }
}

void FolderReader::FindSegments() {
  const auto add = [this](const std::string& path) {
    const auto name = ParseSegmentName(path);
    if (name) segments_.try_emplace(*name, Segment{*name, 0, std::make_unique<SegmentReader>(path), false});
  };
  for (const std::string& path : paths_) {
    std::error_code error;
    if (!fs::is_directory(path, error)) {
      add(path);
      continue;
    }
    for (const auto& entry : fs::directory_iterator(path, error)) {
      if (entry.is_regular_file(error)) add(entry.path().string());
    }
  }
}

std::size_t FolderReader::Poll(RecordSink& sink) {
  FindSegments();
  for (auto entry = segments_.begin(); entry != segments_.end(); ++entry) {
    Segment& segment = entry->second;
    if (segment.is_finished) continue;
    const auto key = std::pair(segment.name.prefix, segment.name.incarnation);
    if (segment.bytes_read == 0) {
      const auto previous = last_numbers_.find(key);
      if (previous != last_numbers_.end() && segment.name.segment > previous->second + 1) {
        sink.OnReadError({segment.name.path, 0,
                          std::to_string(segment.name.segment - previous->second - 1) +
                              " segments are missing before this one, from number " +
                              std::to_string(previous->second + 1) + " on"});
      }
      std::uint32_t& last_number = last_numbers_[key];
      last_number = std::max(last_number, segment.name.segment);
    }
    ReadNewBytes(segment, sink);
    // A segment with a successor no longer grows, so an incomplete record at its end stays incomplete.
    const auto next = std::next(entry);
    if (next != segments_.end() && next->second.name.prefix == segment.name.prefix &&
        next->second.name.incarnation == segment.name.incarnation && !segment.is_finished) {
      DeliverRecords(segment, sink, true);
      segment.is_finished = true;
      segment.reader.reset();
    }
  }
  return segments_.size();
}

void FolderReader::ReadNewBytes(Segment& segment, RecordSink& sink) {
  const net::Fd fd(::open(segment.name.path.c_str(), O_RDONLY | O_CLOEXEC));
  if (!fd) {
    // A segment that was deleted by rotation since the listing is not reported as a read error.
    if (errno != ENOENT) sink.OnReadError({segment.name.path, segment.bytes_read, std::strerror(errno)});
    segment.is_finished = true;
    return;
  }
  std::string buffer(kReadBytes, '\0');
  while (true) {
    const ssize_t count =
        ::pread(fd.Get(), buffer.data(), buffer.size(), static_cast<off_t>(segment.bytes_read));
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) sink.OnReadError({segment.name.path, segment.bytes_read, std::strerror(errno)});
    if (count <= 0) return;
    segment.bytes_read += static_cast<std::uint64_t>(count);
    bytes_ += static_cast<std::uint64_t>(count);
    segment.reader->Feed(std::string_view(buffer).substr(0, static_cast<std::size_t>(count)));
    DeliverRecords(segment, sink, false);
  }
}

void FolderReader::DeliverRecords(Segment& segment, RecordSink& sink, bool is_at_end) {
  SegmentReader& reader = *segment.reader;
  while (true) {
    const auto state = is_at_end ? reader.End() : reader.Next();
    if (state == SegmentReader::State::kMore) return;
    if (state == SegmentReader::State::kError) {
      sink.OnReadError(reader.Error());
    } else {
      sink.OnRecord(segment.name, reader.Time(), reader.Record());
    }
  }
}

void FolderReader::Finish(RecordSink& sink) {
  for (auto& [name, segment] : segments_) {
    if (std::exchange(segment.is_finished, true)) continue;
    DeliverRecords(segment, sink, true);
    segment.reader.reset();
  }
}

}  // namespace tinspan::record
