// For the tests of the network code: the real program as a process, and this test as its clients and servers.
// Everything waits for events with a generous limit; a wait that runs out fails the test.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "checks.hpp"

constexpr int kLimitMs = 20'000;

inline std::int64_t UnixMs() {
  using namespace std::chrono;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

// A blocking TCP connection.
class Peer {
 public:
  explicit Peer(int fd = -1) : fd_(fd) {}
  Peer(Peer&& o) noexcept : fd_(std::exchange(o.fd_, -1)), in_(std::move(o.in_)) {}
  Peer& operator=(Peer&& o) noexcept {
    Close();
    fd_ = std::exchange(o.fd_, -1);
    in_ = std::move(o.in_);
    return *this;
  }
  ~Peer() { Close(); }
  static Peer Connect(int port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port = htons(static_cast<std::uint16_t>(port));
    CHECK_OR_THROW(::connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0);
    return Peer(fd);
  }
  void Send(std::string_view text) {
    while (!text.empty()) {
      const ssize_t n = ::send(fd_, text.data(), text.size(), MSG_NOSIGNAL);
      CHECK_OR_THROW(n > 0);
      text.remove_prefix(static_cast<std::size_t>(n));
    }
  }
  // Sends up to `most` bytes of `block` over and over, until for a while nothing more is taken.
  std::size_t Push(std::string_view block, std::size_t most) {
    std::size_t sent = 0;
    while (sent < most) {
      pollfd one{fd_, POLLOUT, 0};
      if (::poll(&one, 1, 300) == 0) break;
      const ssize_t n =
          ::send(fd_, block.data(), std::min(block.size(), most - sent), MSG_NOSIGNAL | MSG_DONTWAIT);
      CHECK_OR_THROW(n > 0);
      sent += static_cast<std::size_t>(n);
    }
    return sent;
  }
  // Through the first `mark`, which is left out of what is returned.
  std::string Until(std::string_view mark) {
    std::size_t at;
    while ((at = in_.find(mark)) == std::string::npos) CHECK_OR_THROW(More());
    std::string out = in_.substr(0, at);
    in_.erase(0, at + mark.size());
    return out;
  }
  std::string Exactly(std::size_t n) {
    while (in_.size() < n) CHECK_OR_THROW(More());
    std::string out = in_.substr(0, n);
    in_.erase(0, n);
    return out;
  }
  std::string ToEnd() {
    while (More()) {
    }
    return std::exchange(in_, {});
  }
  // Through `mark`, or nothing if the connection ends before.
  std::string ToEndOr(std::string_view mark) {
    while (in_.find(mark) == std::string::npos) {
      if (!More()) return {};
    }
    return std::exchange(in_, {});
  }
  // `total` bytes, read no faster than `bytes_per_s` (in reads of at most 16 KB), as a client on a thin line
  // does.
  std::string Paced(std::size_t total, double bytes_per_s) {
    const auto start = std::chrono::steady_clock::now();
    std::size_t taken = 0;
    while (in_.size() < total) {
      const auto due =
          start + std::chrono::microseconds(static_cast<std::int64_t>(1e6 * taken / bytes_per_s));
      std::this_thread::sleep_until(due);
      pollfd one{fd_, POLLIN, 0};
      CHECK_OR_THROW(::poll(&one, 1, kLimitMs) == 1);
      char block[16384];
      const ssize_t n = ::recv(fd_, block, std::min(sizeof block, total - in_.size()), 0);
      CHECK_OR_THROW(n > 0);
      in_.append(block, static_cast<std::size_t>(n));
      taken += static_cast<std::size_t>(n);
    }
    return std::exchange(in_, {});
  }
  // All that comes within so many milliseconds, the connection left open.
  std::string During(int ms) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(ms);
    for (;;) {
      const auto left =
          std::chrono::duration_cast<std::chrono::milliseconds>(end - std::chrono::steady_clock::now())
              .count();
      pollfd one{fd_, POLLIN, 0};
      if (left <= 0 || ::poll(&one, 1, static_cast<int>(left)) == 0) break;
      char block[65536];
      const ssize_t n = ::recv(fd_, block, sizeof block, 0);
      if (n <= 0) break;
      in_.append(block, static_cast<std::size_t>(n));
    }
    return std::exchange(in_, {});
  }
  // Whether nothing comes within so many milliseconds. Only for proving silence.
  int Descriptor() const { return fd_; }
  bool Silent(int ms) {
    pollfd one{fd_, POLLIN, 0};
    return in_.empty() && ::poll(&one, 1, ms) == 0;
  }
  void Reset() {  // as a dying process does
    const linger now{1, 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    Close();
  }
  void Close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }

 private:
  bool More() {
    pollfd one{fd_, POLLIN, 0};
    CHECK_OR_THROW(::poll(&one, 1, kLimitMs) == 1);
    char block[65536];
    const ssize_t n = ::recv(fd_, block, sizeof block, 0);
    if (n > 0) in_.append(block, static_cast<std::size_t>(n));
    return n > 0;
  }
  int fd_;
  std::string in_;
};

class Server {
 public:
  Server() : fd_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    CHECK_OR_THROW(::bind(fd_, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0 && ::listen(fd_, 64) == 0);
    socklen_t size = sizeof at;
    ::getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size);
    port = ntohs(at.sin_port);
  }
  ~Server() { Close(); }
  Peer Accept() {
    pollfd one{fd_, POLLIN, 0};
    CHECK_OR_THROW(::poll(&one, 1, kLimitMs) == 1);
    return Peer(::accept(fd_, nullptr, nullptr));
  }
  bool Quiet(int ms) {
    pollfd one{fd_, POLLIN, 0};
    return ::poll(&one, 1, ms) == 0;
  }
  void Close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }
  int Descriptor() const { return fd_; }
  std::string Address() const { return "127.0.0.1:" + std::to_string(port); }
  int port = 0;

 private:
  int fd_;
};

class TempFile {
 public:
  explicit TempFile(const std::string& text) {
    char name[] = "/tmp/tinspan-test-XXXXXX";
    const int fd = ::mkstemp(name);
    CHECK_OR_THROW(fd >= 0);
    ::close(fd);
    path = name;
    std::ofstream(path) << text;
  }
  ~TempFile() { ::unlink(path.c_str()); }
  std::string path;
};

class Program {
 public:
  // With `full_log` nothing that it logs fits until the log is read: it stops in its first line.
  Program(std::vector<std::string> arguments, std::map<std::string, std::string> environment,
          rlim_t descriptors = 0, bool full_log = false) {
    int pipes[2];
    CHECK_OR_THROW(::pipe(pipes) == 0);
    if (full_log) {
      const std::string block(4096, '\n');
      CHECK_OR_THROW(::fcntl(pipes[1], F_SETPIPE_SZ, 4096) == 4096);
      CHECK_OR_THROW(::write(pipes[1], block.data(), block.size()) == static_cast<ssize_t>(block.size()));
    }
    pid_ = ::fork();
    if (pid_ == 0) {
      ::dup2(pipes[1], 1);
      ::dup2(pipes[1], 2);
      ::close(pipes[0]);
      ::close(pipes[1]);
      if (descriptors > 0) {
        const rlimit limit{descriptors, descriptors};
        ::setrlimit(RLIMIT_NOFILE, &limit);
      }
      for (const auto& [name, value] : environment) ::setenv(name.c_str(), value.c_str(), 1);
      std::vector<char*> words{const_cast<char*>(TINSPAN_PROGRAM)};
      for (std::string& one : arguments) words.push_back(one.data());
      words.push_back(nullptr);
      ::execv(TINSPAN_PROGRAM, words.data());
      ::_exit(127);
    }
    ::close(pipes[1]);
    out_ = pipes[0];
    failure_log = [this] {
      char block[16384];
      pollfd one{out_, POLLIN, 0};
      const ssize_t n = ::poll(&one, 1, 0) == 1 ? ::read(out_, block, sizeof block) : 0;
      return log + rest_ + std::string(block, static_cast<std::size_t>(std::max<ssize_t>(n, 0)));
    };
  }
  ~Program() {
    failure_log = [] { return std::string(); };
    if (pid_ > 0) {
      ::kill(pid_, SIGKILL);
      ::waitpid(pid_, nullptr, 0);
    }
    ::close(out_);
  }
  // Reads the log through a line with `mark`; returns that line. What came before is kept in `log`.
  std::string Line(std::string_view mark) {
    while (true) {
      const std::size_t end = rest_.find('\n');
      if (end == std::string::npos) {
        CHECK_OR_THROW(More());
        continue;
      }
      const std::string line = rest_.substr(0, end);
      rest_.erase(0, end + 1);
      log += line + "\n";
      if (line.find(mark) != std::string::npos) return line;
    }
  }
  int Port() {
    const std::string line = Line("serving at ");
    return std::stoi(line.substr(line.rfind(':') + 1));
  }
  pid_t Pid() const { return pid_; }
  // Returns once the process sleeps (looked at over 50 ms): in a program that has not served yet, on its log.
  void Asleep() const {
    const long long end = UnixMs() + kLimitMs;
    for (int asleep = 0; asleep < 5;) {
      CHECK_OR_THROW(UnixMs() < end);
      std::ifstream in("/proc/" + std::to_string(pid_) + "/stat");
      std::string stat;
      std::getline(in, stat);
      asleep = stat.substr(stat.rfind(')') + 1).starts_with(" S") ? asleep + 1 : 0;
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
  }
  void Signal(int number) { ::kill(pid_, number); }
  int Wait() {  // the exit status; the rest of the log is read
    while (More()) {
    }
    log += rest_;
    int status = 0;
    ::waitpid(pid_, &status, 0);
    pid_ = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  }
  std::string log;

 private:
  bool More() {
    pollfd one{out_, POLLIN, 0};
    CHECK_OR_THROW(::poll(&one, 1, kLimitMs) == 1);
    char block[4096];
    const ssize_t n = ::read(out_, block, sizeof block);
    if (n > 0) rest_.append(block, static_cast<std::size_t>(n));
    return n > 0;
  }
  pid_t pid_ = -1;
  int out_ = -1;
  std::string rest_;
};

// Stops the program for as long as it lives; what is sent meanwhile is there at once when it goes on.
class Stopped {
 public:
  explicit Stopped(Program& program) : program_(program) {
    program_.Signal(SIGSTOP);
    int status = 0;
    CHECK_OR_THROW(::waitpid(program_.Pid(), &status, WUNTRACED) == program_.Pid() && WIFSTOPPED(status));
  }
  ~Stopped() { program_.Signal(SIGCONT); }

 private:
  Program& program_;
};
