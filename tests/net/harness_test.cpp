// Tests of the process tests' harness: what a failed check reports, and that it ends the started programs.
#include <gtest/gtest-spi.h>

#include <cerrno>
#include <stdexcept>

#include "platform_world.hpp"

namespace {

// The text of the check that fails in `run`; empty if none fails.
std::string FailureOf(const std::function<void()>& run) {
  try {
    run();
  } catch (const CheckFailure& failure) {
    return failure.what();
  }
  return {};
}

TEST(HarnessTest, AFailedCheckNamesItsPlaceAndItsCondition) {
  const std::string text = FailureOf([] { CHECK_OR_THROW(2 + 2 == 5); });
  ASSERT_NE(text.find("harness_test.cpp:" + std::to_string(__LINE__ - 1) + ": "), std::string::npos);
  ASSERT_NE(text.find("2 + 2 == 5"), std::string::npos);
}

TEST(HarnessTest, AFailedCheckShowsTheLogOfTheProgram) {
  const std::string text = FailureOf([] {
    World world;
    world.program->Signal(SIGTERM);
    world.program->Wait();
    CHECK_OR_THROW(false);
  });
  ASSERT_NE(text.find("serving at "), std::string::npos);
}

TEST(HarnessTest, AFailedCheckEndsTheProgram) {
  pid_t pid = -1;
  const std::string text = FailureOf([&] {
    World world;
    pid = world.program->Pid();
    CHECK_OR_THROW(::kill(pid, 0) != 0);
  });
  ASSERT_FALSE(text.empty());
  ASSERT_EQ(::kill(pid, 0), -1);
  ASSERT_EQ(errno, ESRCH);
}

TEST(HarnessTest, AnExceptionInATestThreadFailsTheTest) {
  EXPECT_NONFATAL_FAILURE_ON_ALL_THREADS({ TestThread([] { throw std::runtime_error("broken"); }).Join(); },
                                         "broken");
}

}  // namespace
