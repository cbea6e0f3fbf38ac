// The names that the records of one incarnation refer to by number: its classes and servers. Pure.
#pragma once

#include <string>
#include <unordered_map>

#include "record/tracker.hpp"

namespace tinspan::record {

// Collects the Header and Server records of one incarnation and resolves the numbers in its other records.
class Dictionary {
 public:
  // Must be called with each record, in order, before the record's numbers are resolved.
  void Apply(const wire::Record& record);
  const wire::Header& Header() const { return header_; }
  // "class N" if the header does not list it.
  std::string ClassName(std::uint32_t class_id) const;
  // "-" for number 0, which stands for no server; "server N" if its name is not known.
  std::string ServerName(std::uint32_t number) const;
  // Null if there is no record of this server.
  const wire::Server* Server(std::uint32_t number) const;

  // The parts of a key in Window.ended or Window.attempts.
  struct CountKey {
    std::uint32_t server = 0;
    std::uint32_t class_id = 0;
    std::uint32_t outcome = 0;  // a RequestOutcome (Window.ended) or an Outcome (Window.attempts)
  };
  CountKey SplitCountKey(std::uint64_t key) const;

 private:
  wire::Header header_;
  std::unordered_map<std::uint32_t, wire::Server> servers_;
};

}  // namespace tinspan::record
