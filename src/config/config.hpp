// The one place where configuration is read, checked and given defaults. Every error names the faulty key.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "net/endpoint.hpp"
#include "net/fd.hpp"
#include "setup/setup.hpp"

namespace tinspan::config {

struct Error : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Limits {
  std::size_t memory_mb = 192;
  std::size_t sockets = 1024;  // 64 at least

  // How the descriptors are shared out. What is neither a client's nor a server's (the log, epoll, signals,
  // listeners, two connections to the change log, the operators' door and eight callers) is kept free first,
  // so that clients who fill their part and rest shut out neither.
  static constexpr std::size_t kKept = 20;
  std::size_t ClientSockets() const { return (sockets - kKept) * 5 / 8; }
  std::size_t ServerSockets() const { return (sockets - kKept) / 4; }
  std::size_t PartingSockets() const { return (sockets - kKept) / 16; }  // clients whose end is awaited
};

// The fleet view (docs/design/members.md); absent from the file: off.
struct Members {
  std::string fleet;  // letters, digits, '-', '_', '.'; datagrams of another fleet are refused
  net::Endpoint listen;
  std::optional<net::Endpoint> advertise;
  std::string zone;
  std::vector<net::Endpoint> seeds;
  Micros probe{1'000'000};        // the period of probes, 50 ms to 60 s
  Micros probe_timeout{500'000};  // under the period
  int indirect = 3;               // 1 to 8
  double alpha = 4;               // above 0
  double beta = 6;                // 1 at least
  int retransmit = 4;             // 1 to 16
  Micros sync{10'000'000};        // the probe's period at least
  Micros dead_keep{60'000'000};   // ten periods at least
};

// Duties that one doorman holds at a time (docs/design/leases.md); absent from the file: off. Needs
// `members`.
struct Leases {
  std::vector<std::string> voters;  // 3, 5, 7 or 9 names of members, the same in every file
  Micros length{10'000'000};        // 500 ms to 10 minutes
  double drift = 0.1;               // 0 to 0.4: how far clocks may run from true time
  std::size_t candidates = 3;       // 1 to 16
  bool start_alone = true;          // a voter that forgot and cannot ask a majority votes all the same, later
  struct Publish {                  // the duty `health`: where it writes its record
    net::Endpoint store;
    std::string key;          // letters, digits, '-', '_', '.' and '/'
    Micros every{5'000'000};  // 100 ms to an hour
  };
  std::optional<Publish> publish;
  bool purge = false;  // the duty `purge`: operators' purges reach every doorman. At the gateway
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
  Micros slack{2'000};          // taken off what a client allows
  // The operators' door: on the platform $PROXY_OPS, else `ops` of the file (a second process of an upgrade
  // is told a new one in the variable, with the file unchanged); at the gateway `ops` of its file. Absent:
  // there is none.
  std::optional<net::Endpoint> ops;
  std::optional<Members> members;
  std::optional<Leases> leases;
};

// The platform: PROXY_NAME, PROXY_LISTEN and PROXY_CONFIG.
struct Platform : Common {
  net::Endpoint changelog;
  std::uint64_t known_seq = 0;
  std::vector<std::string> known;  // the change log's events up to the start, each one JSON object
};

// The gateway between sites: an operator's file.
enum class Carrier { kOpen, kLink, kToken, kEither };
struct Route {  // of the class at the same place in the settings
  std::string prefix;
  Carrier access = Carrier::kEither;
};
struct ConsulService {
  std::string name;
  std::string kind;  // of the machines that are registered under it
};
struct Record {  // the flight recorder; off where `folder` is empty
  std::string folder;
  std::uint64_t segment_bytes = 8 << 20;
  Micros segment_age{600'000'000};
  std::uint64_t total_bytes = 256 << 20;
  std::uint32_t sample_ppm = 10'000;  // of requests that went well
};
struct Http : Common {
  std::string path;       // of the operator's file
  std::string origin;     // scheme and authority under which links are signed
  std::string authority;  // the latter alone
  std::string audience;
  std::string keys_path;  // read again on SIGHUP
  std::string keys;       // a JWK set
  std::string signing_key;
  std::string operator_token;  // empty: there is no operator's endpoint
  Micros leeway{5'000'000};
  Micros stall{10'000'000};
  std::size_t most_body = 48'000;
  std::vector<Route> routes;
  net::Endpoint consul;
  std::string consul_token;
  Micros consul_wait{30'000'000};
  std::string consul_zone;  // of nodes that name none
  std::vector<ConsulService> consul_services;
  Record record;
};

// Throws Error.
Http ReadHttp(const std::string& path);
std::string ReadFile(const std::string& key, const std::string& path);
Platform ReadPlatform();
Platform ParsePlatform(std::string_view json, const std::string& name, const std::string& listen);
// For an error of the form "KEY: ...": the same with the line of `text` on which KEY stands.
std::string WithLine(std::string_view text, const std::string& message);

}  // namespace tinspan::config
