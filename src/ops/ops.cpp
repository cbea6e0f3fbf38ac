#include "ops/ops.hpp"

#include <array>
#include <utility>

namespace tinspan::ops {
namespace {

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t' || text.back() == '\r'))
    text.remove_suffix(1);
  return text;
}

constexpr std::array<std::pair<std::string_view, Call>, 8> kCalls{{{"status", Call::kStatus},
                                                                   {"stats", Call::kStats},
                                                                   {"standby", Call::kStandby},
                                                                   {"maint-on", Call::kStandby},
                                                                   {"active", Call::kActive},
                                                                   {"maint-off", Call::kActive},
                                                                   {"members", Call::kMembers},
                                                                   {"leases", Call::kLeases}}};

}  // namespace

ParsedCall ParseCall(std::string_view line) {
  if (line.size() > kMaxLineBytes) return {.call = {}, .error = "line longer than 1024 bytes"};
  line = Trim(line);
  if (line.empty()) return {.call = {}, .error = "empty line, no call"};
  const std::size_t space = line.find_first_of(" \t");
  const std::string_view name = line.substr(0, space);
  // Only name=value words may follow the name.
  for (std::string_view rest = space == std::string_view::npos ? std::string_view() : line.substr(space);;) {
    rest = Trim(rest);
    if (rest.empty()) break;
    const std::size_t end = rest.find_first_of(" \t");
    const std::string_view word = rest.substr(0, end);
    if (word.find('=') == std::string_view::npos || word.front() == '=') {
      return {.call = {}, .error = "arguments are name=value words"};
    }
    rest = end == std::string_view::npos ? std::string_view() : rest.substr(end);
  }
  for (const auto& [known_name, call] : kCalls) {
    if (name == known_name) return {.call = call, .error = {}};
  }
  for (const char character : name) {  // the name is echoed only if it has nothing but plain characters
    if (!((character >= 'a' && character <= 'z') || (character >= '0' && character <= '9') ||
          character == '-' || character == '_') ||
        name.size() > 32) {
      return {.call = {}, .error = "unknown call"};
    }
  }
  return {.call = {}, .error = "unknown call " + std::string(name)};
}

std::string_view Name(ServiceState state) {
  switch (state) {
    case ServiceState::kStarting:
      return "starting";
    case ServiceState::kServing:
      return "serving";
    case ServiceState::kStandby:
      return "standby";
    case ServiceState::kStopping:
      return "stopping";
  }
  return "unknown";
}

bool Service::EnterStandby() {
  if (state_ == ServiceState::kStopping || state_ == ServiceState::kStandby) return false;
  state_ = ServiceState::kStandby;
  return true;
}

bool Service::LeaveStandby() {
  if (state_ != ServiceState::kStandby) return false;
  state_ = ServiceState::kServing;
  return true;
}

std::string FormatPrometheus(const Statistics& figures, std::string_view prefix) {
  struct Line {
    std::string_view name;
    std::string_view type;
    std::uint64_t value;
  };
  const std::array<Line, 9> lines{{{"completed_total", "counter", figures.completed},
                                   {"rejected_total", "counter", figures.rejected},
                                   {"failed_total", "counter", figures.failed},
                                   {"upstream_requests_total", "counter", figures.upstream},
                                   {"pending", "gauge", figures.pending},
                                   {"members", "gauge", figures.members},
                                   {"members_unavailable", "gauge", figures.members_unavailable},
                                   {"config_reloads_total", "counter", figures.config_reloads},
                                   {"config_reload_errors_total", "counter", figures.config_reload_errors}}};
  std::string out;
  const auto add = [&](std::string_view name_part, std::string_view type, std::uint64_t value) {
    const std::string name = std::string(prefix) + "_" + std::string(name_part);
    out += "# TYPE " + name + " " + std::string(type) + "\n";
    out += name + " " + std::to_string(value) + "\n";
  };
  for (const Line& line : lines) add(line.name, line.type, line.value);
  for (const Statistics::ExtraStatistic& line : figures.more) add(line.name, line.type, line.value);
  return out;
}

std::string HandleCall(std::string_view line, Service& service, const Statistics& figures,
                       const AdminViews& views) {
  const ParsedCall parsed = ParseCall(line);
  if (!parsed.call) return "error " + parsed.error + "\n";
  switch (*parsed.call) {
    case Call::kStatus:
      return (service.IsReady() ? "done " : "error ") + std::string(Name(service.State())) + "\n";
    case Call::kStats:
      return "done\n" + FormatPrometheus(figures, "proxy") + "end\n";
    case Call::kMembers:
      if (!views.members) return "error members are off here\n";
      return "done\n" + views.members() + "end\n";
    case Call::kLeases:
      if (!views.leases) return "error leases are off here\n";
      return "done\n" + views.leases() + "end\n";
    case Call::kStandby:
      if (!service.CanStandBy()) return "error the gateway takes no standby\n";
      if (service.State() == ServiceState::kStopping) return "error stopping, standby has no meaning now\n";
      service.EnterStandby();
      return "done standby\n";
    case Call::kActive:
      if (!service.CanStandBy()) return "error the gateway takes no standby\n";
      if (service.State() == ServiceState::kStopping) return "error stopping, cannot take clients again\n";
      service.LeaveStandby();
      return "done active\n";
  }
  return "error unknown call\n";
}

}  // namespace tinspan::ops
