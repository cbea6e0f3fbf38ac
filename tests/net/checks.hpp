// How the process tests fail: checks for helpers that return a value, threads whose failures reach the test,
// and the log of the program under test with every failure.
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

/// Returns the log of the program under test; the program sets it while it runs. Empty when none runs.
inline std::function<std::string()> failure_log = [] { return std::string(); };

/// A check that did not hold. It unwinds to the test, so that every program that the test started is ended.
class CheckFailure : public std::runtime_error {
 public:
  /// `file` and `line` are the check's place, `condition` its text; the program's log is taken now, while it
  /// runs.
  CheckFailure(const char* file, int line, const std::string& condition)
      : std::runtime_error(std::string(file) + ":" + std::to_string(line) + ": failed: " + condition + "\n" +
                           failure_log()) {}
};

/// For helpers and lambdas, which an ASSERT could only leave but not the test around them: throws
/// CheckFailure.
#define CHECK_OR_THROW(condition)                                         \
  do {                                                                    \
    if (!(condition)) throw CheckFailure(__FILE__, __LINE__, #condition); \
  } while (false)

/// A thread of the test, joined by its destructor. An exception that leaves its function fails the test.
class TestThread {
 public:
  explicit TestThread(std::function<void()> run) : thread_([run = std::move(run)] { Run(run); }) {}
  TestThread(const TestThread&) = delete;
  TestThread& operator=(const TestThread&) = delete;
  ~TestThread() { Join(); }
  /// Waits for the function's end; does nothing the second time.
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

/// Adds the printer to GoogleTest's listeners, which own it, before any test runs.
inline const bool kFailureLogPrinterAdded = [] {
  testing::UnitTest::GetInstance()->listeners().Append(std::make_unique<FailureLogPrinter>().release());
  return true;
}();
