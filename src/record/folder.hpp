// The I/O behind reader.hpp: folders of segments, followed while their writers go on and after they died.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "record/reader.hpp"

namespace tinspan::record {

// Folders of segments, or single segments, followed as they grow.
class FolderReader {
 public:
  // Throws std::runtime_error naming a path that is neither a folder nor a file that can be read.
  explicit FolderReader(std::vector<std::string> paths);
  // Reads all that has been written since the last call. How many segments there are.
  std::size_t Poll(Sink& sink);
  // Nothing more will come: what is half there is told as damage.
  void Finish(Sink& sink);
  std::uint64_t Bytes() const { return bytes_; }

 private:
  struct Open {
    SegmentName name;
    std::uint64_t read = 0;
    std::unique_ptr<SegmentReader> reader;
    bool finished = false;
  };
  void List();
  void ReadOn(Open& file, Sink& sink);
  static void Drain(Open& file, Sink& sink, bool end);

  std::vector<std::string> paths_;
  std::map<SegmentName, Open> files_;
  std::map<std::pair<std::string, std::int64_t>, std::uint32_t> last_;  // segment begun, by incarnation
  std::uint64_t bytes_ = 0;
};

}  // namespace tinspan::record
