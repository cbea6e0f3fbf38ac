// The one place where configuration is read, checked and given defaults. Every error names the faulty key.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "net/fd.hpp"
#include "setup/setup.hpp"

namespace tinspan::config {

struct Error : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Limits {
  std::size_t memory_mb = 192;
  std::size_t sockets = 1024;
};

// What holds for either front.
struct Common {
  std::string name = "tinspan";
  net::Endpoint listen;
  std::uint64_t seed = 0;
  Limits limits;
  Site site;
  Micros connect_timeout{400'000};
  Micros idle_close{30'000'000};
  std::size_t exchanges = 100;  // at once on one connection to a server
  Micros longest{6'000'000};    // the longest deadline of a class
  Micros slack{20'000};         // taken off what a client allows
};

// The platform: PROXY_NAME, PROXY_LISTEN and PROXY_CONFIG.
struct Platform : Common {
  net::Endpoint changelog;
  std::uint64_t known_seq = 0;
  std::vector<std::string> known;  // the change log's events up to the start, each one JSON object
};

// Throws Error.
Platform ReadPlatform();
Platform ParsePlatform(std::string_view json, const std::string& name, const std::string& listen);

}  // namespace tinspan::config
