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

constexpr std::size_t kChunk = 1 << 20;

}  // namespace

FolderReader::FolderReader(std::vector<std::string> paths) : paths_(std::move(paths)) {
  for (const std::string& path : paths_) {
    std::error_code error;
    const fs::file_status status = fs::status(path, error);
    if (!fs::exists(status)) throw std::runtime_error(path + ": there is no such folder");
    if (fs::is_regular_file(status)) {
      if (!ReadSegmentName(path)) {
        throw std::runtime_error(path + ": expected a folder of records, or a segment NAME.START.NUMBER" +
                                 std::string(kSuffix));
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

void FolderReader::List() {
  const auto add = [this](const std::string& path) {
    const auto name = ReadSegmentName(path);
    if (name) files_.try_emplace(*name, Open{*name, 0, std::make_unique<SegmentReader>(path), false});
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

std::size_t FolderReader::Poll(Sink& sink) {
  List();
  for (auto place = files_.begin(); place != files_.end(); ++place) {
    Open& file = place->second;
    if (file.finished) continue;
    const auto key = std::pair(file.name.prefix, file.name.incarnation);
    if (file.read == 0) {
      const auto before = last_.find(key);
      if (before != last_.end() && file.name.segment > before->second + 1) {
        sink.OnTrouble({file.name.path, 0,
                        std::to_string(file.name.segment - before->second - 1) +
                            " segments are missing before this one, from number " +
                            std::to_string(before->second + 1) + " on"});
      }
      std::uint32_t& last = last_[key];
      last = std::max(last, file.name.segment);
    }
    ReadOn(file, sink);
    // A segment with a successor grows no more: what is half there stays so.
    const auto next = std::next(place);
    if (next != files_.end() && next->second.name.prefix == file.name.prefix &&
        next->second.name.incarnation == file.name.incarnation && !file.finished) {
      Drain(file, sink, true);
      file.finished = true;
      file.reader.reset();
    }
  }
  return files_.size();
}

void FolderReader::ReadOn(Open& file, Sink& sink) {
  const net::Fd fd(::open(file.name.path.c_str(), O_RDONLY | O_CLOEXEC));
  if (!fd) {
    // Rotated away between the listing and now is no trouble, only gone.
    if (errno != ENOENT) sink.OnTrouble({file.name.path, file.read, std::strerror(errno)});
    file.finished = true;
    return;
  }
  std::string block(kChunk, '\0');
  while (true) {
    const ssize_t count = ::pread(fd.Get(), block.data(), block.size(), static_cast<off_t>(file.read));
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) sink.OnTrouble({file.name.path, file.read, std::strerror(errno)});
    if (count <= 0) return;
    file.read += static_cast<std::uint64_t>(count);
    bytes_ += static_cast<std::uint64_t>(count);
    file.reader->Feed(std::string_view(block).substr(0, static_cast<std::size_t>(count)));
    Drain(file, sink, false);
  }
}

void FolderReader::Drain(Open& file, Sink& sink, bool end) {
  SegmentReader& reader = *file.reader;
  while (true) {
    const auto state = end ? reader.End() : reader.Next();
    if (state == SegmentReader::State::kMore) return;
    if (state == SegmentReader::State::kTrouble) {
      sink.OnTrouble(reader.Problem());
    } else {
      sink.OnRecord(file.name, reader.At(), reader.Record());
    }
  }
}

void FolderReader::Finish(Sink& sink) {
  for (auto& [name, file] : files_) {
    if (std::exchange(file.finished, true)) continue;
    Drain(file, sink, true);
    file.reader.reset();
  }
}

}  // namespace tinspan::record
