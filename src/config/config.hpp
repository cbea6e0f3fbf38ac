// Reads and validates the configuration and supplies its defaults; no other part of the program does. Every
// error names the faulty key.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "net/endpoint.hpp"
#include "net/fd.hpp"
#include "setup/setup.hpp"

namespace tinspan::config {

/// A configuration that cannot be read or is invalid.
struct Error : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Limits {
  std::size_t memory_mb = 192;
  std::size_t sockets = 1024;  // descriptors in total, at least 64

  /// Descriptors reserved for everything but client and server connections: the log, epoll, signals,
  /// listeners, two connections to the change log, the admin listener and its eight callers. They are
  /// deducted before the rest is divided between clients and servers, so that idle clients that use up their
  /// share block neither these nor the server connections.
  static constexpr std::size_t kReservedDescriptors = 20;
  std::size_t MemoryBytes() const { return memory_mb << 20; }
  std::size_t ClientSockets() const { return (sockets - kReservedDescriptors) * 5 / 8; }
  std::size_t ServerSockets() const { return (sockets - kReservedDescriptors) / 4; }
  /// For client connections that linger after the last response until the client closes them.
  std::size_t LingeringSockets() const { return (sockets - kReservedDescriptors) / 16; }
};

/// The fleet view (docs/design/members.md). It is off if the file has no `members`.
struct Members {
  std::string fleet;  // letters, digits, '-', '_', '.'; datagrams of another fleet are rejected
  net::Endpoint listen;
  std::optional<net::Endpoint> advertise;
  std::string zone;
  std::vector<net::Endpoint> seeds;
  Micros probe_interval{1'000'000};   // 50 ms to 60 s
  Micros probe_timeout{500'000};      // less than probe_interval
  int indirect_probes = 3;            // 1 to 8
  double suspicion_alpha = 4;         // above 0
  double suspicion_beta = 6;          // at least 1
  int retransmit_multiplier = 4;      // 1 to 16
  Micros sync_interval{10'000'000};   // at least probe_interval
  Micros dead_retention{60'000'000};  // at least ten times probe_interval
};

/// Leased duties, each held by one instance at a time (docs/design/leases.md). They are off if the file has
/// no `leases`; they require `members`.
struct Leases {
  std::vector<std::string> voters;    // 3, 5, 7 or 9 member names, the same in every file
  Micros lease_duration{10'000'000};  // 500 ms to 10 minutes
  double max_clock_drift = 0.1;       // 0 to 0.4: maximum relative error of a clock's rate
  std::size_t candidate_count = 3;    // 1 to 16
  bool can_start_alone = true;  // a voter that lost its state and reaches no majority votes after a delay
  struct HealthPublication {    // the duty `health`: where its holder writes the record
    net::Endpoint store;
    std::string key;             // letters, digits, '-', '_', '.' and '/'
    Micros interval{5'000'000};  // 100 ms to an hour
  };
  std::optional<HealthPublication> health_publication;
  // The duty `purge` (gateway only): its holder distributes operators' purges to every instance.
  bool distributes_purges = false;
};

/// Configuration common to the platform and the gateway.
struct CommonConfig {
  std::string name = "tinspan";
  net::Endpoint listen;
  std::uint64_t seed = 0;
  Limits limits;
  NamedSettings site;
  Micros connect_timeout{400'000};
  Micros idle_timeout{30'000'000};
  std::size_t max_streams_per_connection = 100;  // concurrent, on one connection to a server
  Micros longest_deadline{6'000'000};            // the longest deadline of any class
  Micros response_margin{2'000};                 // deducted from the time that a client allows
  // The address of the admin listener; without one there is no admin listener. On the platform $PROXY_OPS
  // takes precedence over `ops` of the file, so that the second process of an upgrade can listen elsewhere
  // with the same file. The gateway uses `ops` of its file.
  std::optional<net::Endpoint> ops;
  std::optional<Members> members;
  std::optional<Leases> leases;
};

/// The keys of a file, as paths joined with dots. A key of a class, `settings.lanes.*.KEY`, is included if
/// every class has it. A key whose value is null counts as missing.
using KeyPaths = std::set<std::string>;

/// Configuration on the platform: PROXY_NAME, PROXY_LISTEN and the file at PROXY_CONFIG.
struct Platform : CommonConfig {
  KeyPaths keys;
  net::Endpoint watch_address;
  std::uint64_t initial_sequence = 0;
  std::vector<std::string> initial_events;  // change log events up to initial_sequence, each a JSON object
};

/// What must carry a client's authorization at the gateway: nothing, a signed link, a bearer token, or either
/// of the two.
enum class AccessMethod { kOpen, kLink, kToken, kEither };
/// The requests of the class with the same index in the settings.
struct Route {
  std::string prefix;
  AccessMethod access = AccessMethod::kEither;
};
struct ConsulService {
  std::string name;
  std::string kind;  // of the servers registered under `name`
};
/// The flight recorder; off if `folder` is empty.
struct Record {
  std::string folder;
  std::uint64_t segment_bytes = 8 << 20;
  Micros segment_age{600'000'000};
  std::uint64_t total_bytes = 256 << 20;
  std::uint32_t sample_ppm = 10'000;  // traced share of the successful requests
};
/// Configuration of the gateway between sites: an operator's file.
struct Gateway : CommonConfig {
  std::string path;       // of the operator's file
  std::string origin;     // scheme and authority under which links are signed
  std::string authority;  // of `origin`
  std::string audience;
  std::string keys_path;  // reloaded on SIGHUP
  std::string keys;       // a JWK set
  std::string signing_key;
  std::string operator_token;  // if empty, the operator's endpoint is off
  Micros clock_leeway{5'000'000};
  Micros stall_timeout{10'000'000};
  std::size_t max_body_bytes = 48'000;
  std::vector<Route> routes;
  net::Endpoint consul;
  std::string consul_token;
  Micros consul_wait{30'000'000};
  std::string consul_zone;  // for nodes that specify none
  std::vector<ConsulService> consul_services;
  Record record;
};

/// Reads a gateway's file and the files that it names. Throws Error.
Gateway ReadHttp(const std::string& path);
/// Returns the content of a file. Throws Error, which names `key`, if the file cannot be read.
std::string ReadFile(const std::string& key, const std::string& path);
/// Reads the platform's configuration from the environment variables and the file. Throws Error.
Platform ReadPlatform();
/// Parses the platform's file. Throws Error, with the line of the faulty key if the key is in the file.
Platform ParsePlatform(std::string_view json, const std::string& name, const std::string& listen);
/// Validates that a file which is to replace another one at a reload has all keys of that one, except those
/// that may be absent from any file. Throws Error, which names the first missing key.
void RequireKeysOf(const KeyPaths& current, const KeyPaths& updated);
/// Adds the line number of the faulty key to an error message: "KEY: expected ..." becomes "KEY (line N):
/// expected ...". N is the line where `text` first has the last part of KEY; for a key of class K, the line
/// of occurrence K, counted from 0. Returns the message unchanged if `text` has no such occurrence, or if the
/// last part is an index into a list.
std::string AddLineNumber(std::string_view text, const std::string& message);

}  // namespace tinspan::config
