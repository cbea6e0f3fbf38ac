#include "cli/admin_client.hpp"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <iostream>
#include <sstream>
#include <vector>

#include "net/clock.hpp"
#include "net/endpoint.hpp"
#include "net/fd.hpp"

namespace tinspan::cli {
namespace {

namespace po = boost::program_options;

// Sends one call to the admin listener at `admin_address` and returns its whole answer. Throws
// std::runtime_error if there is no answer within 3 s; an admin listener answers within a second.
std::string Query(const std::string& admin_address, const std::string& call) {
  const auto endpoint = net::Endpoint::Parse(admin_address);
  if (!endpoint)
    throw UsageError{"option '--door': expected an address like 127.0.0.1:9100, not '" + admin_address + "'"};
  const net::Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in address = endpoint->Socket();
  if (!fd || ::connect(fd.Get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    throw std::runtime_error("no operators' door at " + admin_address);
  }
  const std::string line = call + "\n";
  if (::send(fd.Get(), line.data(), line.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(line.size())) {
    throw std::runtime_error("the door at " + admin_address + " took no call");
  }
  std::string answer;
  const net::Micros deadline = net::Now() + std::chrono::seconds(3);
  while (true) {
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - net::Now());
    pollfd poll_entry{fd.Get(), POLLIN, 0};
    if (remaining.count() <= 0 || ::poll(&poll_entry, 1, static_cast<int>(remaining.count())) != 1) {
      throw std::runtime_error("the door at " + admin_address + " did not answer within 3 s");
    }
    char buffer[65536];
    const ssize_t count = ::recv(fd.Get(), buffer, sizeof buffer, 0);
    if (count <= 0) break;
    answer.append(buffer, static_cast<std::size_t>(count));
  }
  return answer;
}

// Returns the lines of the answer between `done` and `end`. Throws std::runtime_error with the first line if
// it is not `done`, or if `end` is missing.
std::vector<std::string> AnswerLines(const std::string& answer) {
  std::istringstream in(answer);
  std::string line;
  std::getline(in, line);
  if (line != "done") throw std::runtime_error(line.empty() ? "empty answer from the admin listener" : line);
  std::vector<std::string> lines;
  while (std::getline(in, line)) {
    if (line == "end") return lines;
    lines.push_back(line);
  }
  throw std::runtime_error("truncated answer from the admin listener: expected 'end' after " +
                           std::to_string(lines.size()) + " lines");
}

// Prints the rows, whose cells are separated by spaces, in aligned columns.
void PrintTable(const std::vector<std::string>& header, const std::vector<std::string>& rows) {
  std::vector<std::vector<std::string>> cells{header};
  for (const std::string& row : rows) {
    std::istringstream input(row);
    std::vector<std::string> row_cells;
    for (std::string cell; input >> cell;) row_cells.push_back(cell);
    cells.push_back(std::move(row_cells));
  }
  std::vector<std::size_t> widths(header.size(), 0);
  for (const auto& row : cells) {
    for (std::size_t i = 0; i < row.size() && i < widths.size(); ++i)
      widths[i] = std::max(widths[i], row[i].size());
  }
  for (const auto& row : cells) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      std::cout << row[i];
      if (i + 1 < row.size())
        std::cout << std::string(widths[std::min(i, widths.size() - 1)] - row[i].size() + 2, ' ');
    }
    std::cout << "\n";
  }
}

}  // namespace

void AddAdminOptions(Options& options) {
  options.add_options()("door", po::value<std::string>()->default_value("127.0.0.1:9100"),
                        "the admin listener of the running instance (its `ops` or $PROXY_OPS)")(
      "raw", po::bool_switch(), "print the answer's lines unchanged, for scripts");
}

namespace {

int PrintAnswer(const Values& values, const std::string& call, const std::vector<std::string>& header) {
  const std::vector<std::string> rows = AnswerLines(Query(values["door"].as<std::string>(), call));
  if (values["raw"].as<bool>()) {
    for (const std::string& row : rows) std::cout << row << "\n";
  } else {
    PrintTable(header, rows);
  }
  return 0;
}

}  // namespace

int RunMembers(const Values& values, const std::vector<std::string>&) {
  return PrintAnswer(values, "members",
                     {"member", "address", "zone", "incarnation", "state", "for_ms", "servers_seen_failing"});
}

int RunLeases(const Values& values, const std::vector<std::string>&) {
  return PrintAnswer(values, "leases", {"duty", "holder", "token", "left_ms", "here", "figures"});
}

}  // namespace tinspan::cli
