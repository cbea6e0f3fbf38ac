// World of the platform's process tests: one real proxy instance, with the listeners of two edge caches, a
// parent cache, the origin and the endpoint watch, which the test plays, and the messages of their protocols.
#pragma once

#include "harness.hpp"

namespace {

/// One entry of an endpoint list, as JSON.
inline std::string EndpointJson(const std::string& id, const std::string& address,
                                const std::string& kind = "box", const std::string& state = "up") {
  return R"({"id":")" + id + R"(","addr":")" + address + R"(","zone":")" + (kind == "box" ? "edge" : "core") +
         R"(","kind":")" + kind + R"(","cell":0,"state":")" + state + R"(","weight":1,"started_ms":0})";
}
/// One watch event as JSON: the complete endpoint list if `full`, otherwise changes to it.
inline std::string FleetEventJson(int seq, bool full, const std::string& members) {
  return R"({"seq":)" + std::to_string(seq) + R"(,"fleet":{"version":1,"full":)" + (full ? "true" : "false") +
         R"(,"servers":[)" + members + "]}}";
}

/// Default settings of the instance: "pages", an idempotent class, and "orders", a class with idempotency
/// keys.
inline constexpr const char* kSettings =
    R"({"areas":["core","edge"],"kinds":["box","up","store"],"zone":"edge",
"instances":1,"me":0,"tickMs":2.0,"lanes":[
{"name":"pages","effect":"repeatable","keyScope":"all","promiseMs":2000.0,"aimStretch":2.0,"giveUpMs":2500.0,
 "lateShare":0.2,"credit":1.0,"streaming":false,"windowMs":5000.0},
{"name":"orders","effect":"by_key","keyScope":"all","promiseMs":2000.0,"giveUpMs":3000.0,"lateShare":0.0,
 "credit":3.0,"streaming":false,"windowMs":6000.0}],
"familyInfo":{"midKind":1,"sourceKind":2,"siblings":"location","detail":"hit","paceKbPerS":5000.0,
"passThroughOk":true,"canJoin":true,"classWrite":[false,true],"maxAgeMs":[12000.0,0.0],"classGraceMs":[0.0,0.0],
"instancesByZone":[0,1],"purgeSlackMs":1000.0,"goneEverywhereMs":6000.0,"parentColdFrom":0.1,
"upperColdMs":20000.0,"upperFallMultiple":2.0},
"limits":{"maxAttempts":8,"cancel":true,"connectTimeoutMs":400.0,"retryAfter":true,"maxRetryAfterMs":2000.0,
"idleCloseMs":30000.0,"streamsPerConn":100},
"rules":{"coldShare":0.2,"warmAfterMs":16000.0,"fallMultiple":2.5,"tipAfterMs":3000.0,"drainGraceMs":500.0,
"graceToAnswerMs":8.0},"weights":"off","registryMode":"automatic"})";

/// One instance with its caches, the origin and the endpoint watch. The instance serves and the watch is
/// connected when the constructor returns.
struct World {
  TcpListener cache_a, cache_b, parent, origin, changelog;
  std::unique_ptr<TemporaryFile> file;
  std::unique_ptr<Program> program;
  TcpPeer watch;  // the instance's connection to the endpoint watch
  std::string config;
  int port = 0;

  /// `descriptors` is the instance's RLIMIT_NOFILE (0: unchanged), `has_second_cache` whether the second
  /// cache is listed, `sockets` and `memory_mb` are its limits, `extra_environment` is added to its
  /// environment. Tests with thousands of requests need a less verbose `log_level`: the program blocks when
  /// its unread log fills the pipe.
  explicit World(rlim_t descriptors = 0, bool has_second_cache = true, const std::string& sockets = "1024",
                 const std::string& memory_mb = "192", const std::string& settings = kSettings,
                 const std::map<std::string, std::string>& extra_environment = {},
                 const std::string& log_level = "debug") {
    std::string members = EndpointJson("s-a", cache_a.Address());
    if (has_second_cache) members += "," + EndpointJson("s-b", cache_b.Address());
    members += "," + EndpointJson("p-1", parent.Address(), "up") + "," +
               EndpointJson("o-1", origin.Address(), "store");
    config = R"({"name":"n0","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964","limits":)"
             R"({"cores":1.0,"memory_mb":)" +
             memory_mb + R"(,"sockets":)" + sockets + R"(},"changelog":")" + changelog.Address() +
             R"(","known":{"seq":1,"results":[)" + FleetEventJson(1, true, members) + R"(]},"settings":)" +
             settings + "}";
    file = std::make_unique<TemporaryFile>(config);
    std::map<std::string, std::string> environment{
        {"PROXY_NAME", "n0"}, {"PROXY_LISTEN", "127.0.0.1:0"}, {"PROXY_CONFIG", file->path}};
    environment.insert(extra_environment.begin(), extra_environment.end());
    program = std::make_unique<Program>(std::vector<std::string>{"serve", "--log-level", log_level},
                                        std::move(environment), descriptors);
    port = program->Port();
    watch = changelog.Accept();
    CHECK_OR_THROW(watch.ReadUntil("\n") == "since 1");
  }
  /// Connects a client.
  TcpPeer Client() const { return TcpPeer::Connect(port); }
};

/// A command of the clients' protocol: an array of bulk strings (RESP).
inline std::string EncodeCommand(const std::vector<std::string>& words) {
  std::string out = "*" + std::to_string(words.size()) + "\r\n";
  for (const auto& word : words) out += "$" + std::to_string(word.size()) + "\r\n" + word + "\r\n";
  return out;
}
/// Reads one response: tag, status, fields and body.
inline std::vector<std::string> ReadResponse(TcpPeer& client) {
  CHECK_OR_THROW(client.ReadUntil("\r\n") == "*4");
  std::vector<std::string> words;
  for (int i = 0; i < 4; ++i) {
    CHECK_OR_THROW(client.ReadExactly(1) == "$");
    const auto length = std::stoul(client.ReadUntil("\r\n"));
    words.push_back(client.ReadExactly(length));
    CHECK_OR_THROW(client.ReadExactly(2) == "\r\n");
  }
  return words;
}
/// Request ids.
inline constexpr const char* kRequestId = "9b1f03aa5c7e2d41";
inline constexpr const char* kOtherRequestId = "9b1f03aa5c7e2d42";
/// A request of the class "pages"; `allow` is the client's timeout in ms, `more` is appended to the fields.
inline std::string EncodeCall(const std::string& tag, const std::string& more = "", int allow = 2500,
                              const std::string& object = "7f3a9c21e0b4d655",
                              const std::string& ref = kRequestId) {
  return EncodeCommand({"RPC.CALL", tag, "pages",
                        "ref=" + ref + ",allow=" + std::to_string(allow) + ",lookup=" + object +
                            ",block=3,family=17,room=412.5" + more,
                        ""});
}
/// Accepts the connection at the cache that the rendezvous hash chose. Sets `first`, unless it is null, to
/// whether that is cache_a.
inline TcpPeer AcceptAtChosenCache(World& world, bool* first = nullptr) {
  for (const auto end = UnixMs() + kWaitLimitMs; UnixMs() < end;) {
    if (!world.cache_a.HasNoConnectionFor(5))
      return first ? (*first = true, world.cache_a.Accept()) : world.cache_a.Accept();
    if (!world.cache_b.HasNoConnectionFor(5))
      return first ? (*first = false, world.cache_b.Accept()) : world.cache_b.Accept();
  }
  CHECK_OR_THROW(false);
  return TcpPeer();
}
/// A cache's successful response.
inline std::string OkResponse(const std::string& body, const std::string& fields = "",
                              const std::string& ref = kRequestId) {
  return ref + " OK entity=e1,issued=" + std::to_string(UnixMs()) + fields + " " +
         std::to_string(body.size()) + "\r\n" + body + "\r\n";
}

}  // namespace
