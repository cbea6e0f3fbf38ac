// Failure reporting of the process tests: checks for helpers that return a value, threads whose exceptions
// fail the test, and the log of the program under test printed with every failure.
#pragma once

#include <gtest/gtest.h>

#include <cstdio>
#include <exception>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>

/// Returns the log of the program under test. Program sets it while its process runs; otherwise it returns
/// "". Only one program at a time is covered: the one that was started last.
inline std::function<std::string()> failure_log = [] { return std::string(); };

/// A failed check. As an exception it unwinds to the test, so that every program that the test started is
/// killed by its destructor.
class CheckFailure : public std::runtime_error {
 public:
  /// `file` and `line` locate the check, `condition` is its source text. Appends the program's log, which has
  /// to be read here, while the program still runs.
  CheckFailure(const char* file, int line, const std::string& condition)
      : std::runtime_error(std::string(file) + ":" + std::to_string(line) + ": failed: " + condition + "\n" +
                           failure_log()) {}
};

/// Throws CheckFailure if `condition` is false. For helpers and lambdas: a failed ASSERT there would return
/// from the helper, but the test would go on.
#define CHECK_OR_THROW(condition)                                         \
  do {                                                                    \
    if (!(condition)) throw CheckFailure(__FILE__, __LINE__, #condition); \
  } while (false)

/// A thread of the test; the destructor joins it. An exception that escapes its function fails the test.
class TestThread {
 public:
  explicit TestThread(std::function<void()> run) : thread_([run = std::move(run)] { Run(run); }) {}
  TestThread(const TestThread&) = delete;
  TestThread& operator=(const TestThread&) = delete;
  ~TestThread() { Join(); }
  /// Waits until the function has returned. Does nothing if the thread was joined before.
  void Join() {
    if (thread_.joinable()) thread_.join();
  }

 private:
  static void Run(const std::function<void()>& run) {
    try {
      run();
    } catch (const std::exception& error) {
      ADD_FAILURE() << "in a thread of the test: " << error.what();
    } catch (...) {
      ADD_FAILURE() << "in a thread of the test: an exception of unknown type";
    }
  }
  std::thread thread_;
};

/// Prints the program's log after each failed ASSERT or EXPECT.
class FailureLogPrinter : public testing::EmptyTestEventListener {
 public:
  void OnTestPartResult(const testing::TestPartResult& result) override {
    if (result.failed()) std::fputs(failure_log().c_str(), stderr);
  }
};

/// Registers the printer with GoogleTest, which owns it, before any test runs.
inline const bool kFailureLogPrinterAdded = [] {
  testing::UnitTest::GetInstance()->listeners().Append(std::make_unique<FailureLogPrinter>().release());
  return true;
}();
