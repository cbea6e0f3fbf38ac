// What the records of one incarnation say about themselves: its classes, and which number stands for which
// server. Pure.
#pragma once

#include <string>
#include <unordered_map>

#include "record/tracker.hpp"

namespace tinspan::record {

class Book {
 public:
  void Note(const wire::Record& record);
  const wire::Header& Header() const { return header_; }
  std::string ClassName(std::uint32_t place) const;
  std::string ServerName(std::uint32_t number) const;  // "-" for none
  const wire::Server* Server(std::uint32_t number) const;

  // A count of Window.ended or Window.attempts, taken apart.
  struct Key {
    std::uint32_t server = 0;
    std::uint32_t class_id = 0;
    std::uint32_t what = 0;  // an Ending or an Outcome
  };
  Key Split(std::uint64_t key) const;

 private:
  wire::Header header_;
  std::unordered_map<std::uint32_t, wire::Server> servers_;
};

}  // namespace tinspan::record
