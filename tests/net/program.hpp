// Runs the real program as a child process of a test, with temporary files for its configuration.
#pragma once

#include <fcntl.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <map>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "checks.hpp"
#include "tcp.hpp"

/// A temporary file with the given text; the destructor deletes it.
class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& text) {
    path = "/tmp/tinspan-test-XXXXXX";
    const int fd = ::mkstemp(path.data());
    CHECK_OR_THROW(fd >= 0);
    ::close(fd);
    std::ofstream(path) << text;
  }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;
  ~TemporaryFile() { ::unlink(path.c_str()); }

  std::string path;
};

/// The program as a child process; the destructor kills and reaps it. While the object lives, the program's
/// log is printed with every failure.
class Program {
 public:
  /// Starts the program. `max_descriptors` is its RLIMIT_NOFILE; 0 inherits the limit of the test. With
  /// `is_log_full` the pipe for its log is full from the start: the program blocks when it writes its first
  /// log line, until the test reads the log.
  Program(std::vector<std::string> arguments, const std::map<std::string, std::string>& environment,
          rlim_t max_descriptors = 0, bool is_log_full = false) {
    std::array<int, 2> pipes{};
    CHECK_OR_THROW(::pipe(pipes.data()) == 0);
    if (is_log_full) Fill(pipes[1]);
    pid_ = ::fork();
    if (pid_ == 0) {
      ::close(pipes[0]);
      Execute(pipes[1], arguments, environment, max_descriptors);
    }
    ::close(pipes[1]);
    output_ = pipes[0];
    failure_log = [this] { return log + pending_output_ + ReadAvailable(); };
  }
  Program(const Program&) = delete;
  Program& operator=(const Program&) = delete;
  ~Program() {
    failure_log = [] { return std::string(); };
    if (pid_ > 0) {
      ::kill(pid_, SIGKILL);
      ::waitpid(pid_, nullptr, 0);
    }
    ::close(output_);
  }

  /// Reads the log up to and including the first line that contains `mark` and returns that line. Appends
  /// every line to `log`. Throws CheckFailure if the log ends first or stays silent for kWaitLimitMs.
  std::string ReadLogThrough(std::string_view mark) {
    while (true) {
      const std::size_t end = pending_output_.find('\n');
      if (end == std::string::npos) {
        CHECK_OR_THROW(ReadMore());
        continue;
      }
      std::string line = pending_output_.substr(0, end);
      pending_output_.erase(0, end + 1);
      log += line + "\n";
      if (line.find(mark) != std::string::npos) return line;
    }
  }

  /// Waits for the log line that names the listening port and returns the port.
  int Port() {
    const std::string line = ReadLogThrough("serving at ");
    return std::stoi(line.substr(line.rfind(':') + 1));
  }

  /// Returns once kAsleepChecks checks in a row, 10 ms apart (50 ms in all), have found the process asleep. A
  /// program that was started with a full log then blocks in its first log line.
  void WaitUntilAsleep() const {
    const long long end = UnixMs() + kWaitLimitMs;
    for (int asleep_count = 0; asleep_count < kAsleepChecks;) {
      CHECK_OR_THROW(UnixMs() < end);
      asleep_count = IsAsleep() ? asleep_count + 1 : 0;
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
  }

  void Signal(int number) const { ::kill(pid_, number); }

  /// Reads the rest of the log and waits until the process has ended. Returns its exit status, or 128 plus
  /// the signal number as a shell does.
  int Wait() {
    while (ReadMore()) {
    }
    log += pending_output_;
    int status = 0;
    ::waitpid(pid_, &status, 0);
    pid_ = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  }

  pid_t Pid() const { return pid_; }

  /// The log lines that have been read.
  std::string log;

 private:
  static constexpr int kAsleepChecks = 5;

  // Shrinks the pipe to its minimum size and fills it.
  static void Fill(int pipe) {
    constexpr int kPipeSize = 4096;
    const std::string block(kPipeSize, '\n');
    CHECK_OR_THROW(::fcntl(pipe, F_SETPIPE_SZ, kPipeSize) == kPipeSize);
    CHECK_OR_THROW(::write(pipe, block.data(), block.size()) == static_cast<ssize_t>(block.size()));
  }

  // Runs in the child after the fork: executes the program with its output redirected to the pipe.
  [[noreturn]] static void Execute(int pipe, std::vector<std::string>& arguments,
                                   const std::map<std::string, std::string>& environment,
                                   rlim_t max_descriptors) {
    ::dup2(pipe, STDOUT_FILENO);
    ::dup2(pipe, STDERR_FILENO);
    ::close(pipe);
    if (max_descriptors > 0) {
      const rlimit limit{max_descriptors, max_descriptors};
      ::setrlimit(RLIMIT_NOFILE, &limit);
    }
    for (const auto& [name, value] : environment) ::setenv(name.c_str(), value.c_str(), 1);
    std::vector<char*> argument_pointers{const_cast<char*>(TINSPAN_PROGRAM)};
    for (std::string& argument : arguments) argument_pointers.push_back(argument.data());
    argument_pointers.push_back(nullptr);
    ::execv(TINSPAN_PROGRAM, argument_pointers.data());
    ::_exit(127);
  }

  bool IsAsleep() const {
    std::ifstream file("/proc/" + std::to_string(pid_) + "/stat");
    std::string stat;
    std::getline(file, stat);
    return stat.substr(stat.rfind(')') + 1).starts_with(" S");
  }

  // Waits for output and appends it to pending_output_. Returns false at end of file.
  bool ReadMore() {
    CHECK_OR_THROW(IsReadyWithin(output_, POLLIN, kWaitLimitMs));
    std::array<char, 4096> block;
    const ssize_t size = ::read(output_, block.data(), block.size());
    if (size > 0) pending_output_.append(block.data(), static_cast<std::size_t>(size));
    return size > 0;
  }

  // Returns the output that can be read without waiting.
  std::string ReadAvailable() const {
    std::array<char, 16384> block;
    const ssize_t size = IsReadyWithin(output_, POLLIN, 0) ? ::read(output_, block.data(), block.size()) : 0;
    return {block.data(), static_cast<std::size_t>(std::max<ssize_t>(size, 0))};
  }

  pid_t pid_ = -1;
  int output_ = -1;
  std::string pending_output_;
};

/// Stops the program (SIGSTOP) while the object lives. What is sent meanwhile waits in the program's sockets,
/// so that the program finds all of it at once when it continues.
class StoppedProgram {
 public:
  explicit StoppedProgram(Program& program) : program_(program) {
    program_.Signal(SIGSTOP);
    int status = 0;
    CHECK_OR_THROW(::waitpid(program_.Pid(), &status, WUNTRACED) == program_.Pid() && WIFSTOPPED(status));
  }
  StoppedProgram(const StoppedProgram&) = delete;
  StoppedProgram& operator=(const StoppedProgram&) = delete;
  ~StoppedProgram() { program_.Signal(SIGCONT); }

 private:
  Program& program_;
};
