#include "lease/health_record.hpp"

#include <nlohmann/json.hpp>
#include <set>

namespace tinspan::lease {
namespace {

using members::State;

nlohmann::json MemberCounts(const members::MembershipView& view) {
  return {{"alive", view.Count(State::kAlive)},
          {"suspect", view.Count(State::kSuspect)},
          {"dead", view.Count(State::kDead)},
          {"left", view.Count(State::kLeft)}};
}

nlohmann::json MembersNotAlive(const members::MembershipView& view) {
  nlohmann::json states = nlohmann::json::object();
  for (const auto& [name, member] : view.Members()) {
    if (states.size() >= kMaxNamedInRecord) break;
    if (member.state != State::kAlive) states[name] = members::Name(member.state);
  }
  return states;
}

std::set<std::uint64_t> FailingServers(const members::MembershipView& view) {
  std::set<std::uint64_t> servers;
  for (const auto& [name, member] : view.Members()) {
    for (const std::uint64_t server : member.failing_servers) {
      if (servers.size() < kMaxNamedInRecord) servers.insert(server);
    }
  }
  return servers;
}

}  // namespace

std::string BuildHealthRecord(const members::MembershipView& view, const WriteRequest& request,
                              std::uint64_t wall_ms) {
  nlohmann::json record;
  record["number"] = request.number;
  record["token"] = ToNumber(request.token);
  record["holder"] = view.Self().name;
  record["at_ms"] = wall_ms;
  record["members"] = MemberCounts(view);
  record["unwell"] = MembersNotAlive(view);
  record["servers_seen_failing"] = FailingServers(view);
  return record.dump();
}

}  // namespace tinspan::lease
