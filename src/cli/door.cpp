#include "cli/door.hpp"

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

// One call, its whole answer; throws with what went wrong. A door answers within a second; 3 s is given.
std::string Ask(const std::string& door, const std::string& call) {
  const auto at = net::Endpoint::Parse(door);
  if (!at) throw Usage{"option '--door': expected an address like 127.0.0.1:9100, not '" + door + "'"};
  const net::Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in address = at->Socket();
  if (!fd || ::connect(fd.Get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    throw std::runtime_error("no operators' door at " + door);
  }
  const std::string line = call + "\n";
  if (::send(fd.Get(), line.data(), line.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(line.size())) {
    throw std::runtime_error("the door at " + door + " took no call");
  }
  std::string answer;
  const net::Micros end = net::Now() + std::chrono::seconds(3);
  while (true) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(end - net::Now());
    pollfd one{fd.Get(), POLLIN, 0};
    if (left.count() <= 0 || ::poll(&one, 1, static_cast<int>(left.count())) != 1) {
      throw std::runtime_error("the door at " + door + " did not answer within 3 s");
    }
    char block[65536];
    const ssize_t n = ::recv(fd.Get(), block, sizeof block, 0);
    if (n <= 0) break;
    answer.append(block, static_cast<std::size_t>(n));
  }
  return answer;
}

// The answer's lines between `done` and `end`; an `error` line is thrown.
std::vector<std::string> Entries(const std::string& answer) {
  std::istringstream in(answer);
  std::string line;
  std::getline(in, line);
  if (line != "done") throw std::runtime_error(line.empty() ? "an empty answer" : line);
  std::vector<std::string> out;
  while (std::getline(in, line)) {
    if (line == "end") return out;
    out.push_back(line);
  }
  throw std::runtime_error("an answer that breaks off after " + std::to_string(out.size()) + " lines");
}

void Table(const std::vector<std::string>& head, const std::vector<std::string>& rows) {
  std::vector<std::vector<std::string>> cells{head};
  for (const std::string& row : rows) {
    std::istringstream words(row);
    std::vector<std::string> one;
    for (std::string word; words >> word;) one.push_back(word);
    cells.push_back(std::move(one));
  }
  std::vector<std::size_t> widths(head.size(), 0);
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

void DescribeDoor(Options& options) {
  options.add_options()("door", po::value<std::string>()->default_value("127.0.0.1:9100"),
                        "the operators' door of the running doorman (its `ops` or $PROXY_OPS)")(
      "raw", po::bool_switch(), "the door's lines as they come, for machines");
}

namespace {

int Show(const Values& values, const std::string& call, const std::vector<std::string>& head) {
  const std::vector<std::string> rows = Entries(Ask(values["door"].as<std::string>(), call));
  if (values["raw"].as<bool>()) {
    for (const std::string& row : rows) std::cout << row << "\n";
  } else {
    Table(head, rows);
  }
  return 0;
}

}  // namespace

int RunMembers(const Values& values, const std::vector<std::string>&) {
  return Show(values, "members",
              {"member", "address", "zone", "incarnation", "state", "for_ms", "servers_seen_failing"});
}

int RunLeases(const Values& values, const std::vector<std::string>&) {
  return Show(values, "leases", {"duty", "holder", "token", "left_ms", "here", "figures"});
}

}  // namespace tinspan::cli
