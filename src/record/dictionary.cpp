#include "record/dictionary.hpp"

#include <algorithm>

namespace tinspan::record {

void Dictionary::Apply(const wire::Record& record) {
  if (record.has_header()) header_ = record.header();
  if (record.has_server()) servers_[record.server().number()] = record.server();
}

std::string Dictionary::ClassName(std::uint32_t class_id) const {
  return class_id < static_cast<std::uint32_t>(header_.classes_size())
             ? header_.classes(static_cast<int>(class_id)).name()
             : "class " + std::to_string(class_id);
}

const wire::Server* Dictionary::Server(std::uint32_t number) const {
  const auto found = servers_.find(number);
  return found == servers_.end() ? nullptr : &found->second;
}

std::string Dictionary::ServerName(std::uint32_t number) const {
  if (number == 0) return "-";
  const wire::Server* const server = Server(number);
  return server == nullptr || server->name().empty() ? "server " + std::to_string(number) : server->name();
}

Dictionary::CountKey Dictionary::SplitCountKey(std::uint64_t key) const {
  const auto classes = static_cast<std::uint64_t>(std::max(header_.classes_size(), 1));
  return {static_cast<std::uint32_t>(key / 16 / classes), static_cast<std::uint32_t>(key / 16 % classes),
          static_cast<std::uint32_t>(key % 16)};
}

}  // namespace tinspan::record
