// The memory of a process under test.
#pragma once

#include <gtest/gtest.h>
#include <sys/types.h>

#include <cstddef>
#include <fstream>
#include <string>

namespace {

/// The largest resident memory of a process so far, in bytes.
inline std::size_t PeakResidentBytes(pid_t pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  std::string word;
  std::size_t kilobytes = 0;
  while (status >> word) {
    if (word == "VmHWM:") status >> kilobytes;
  }
  return kilobytes << 10;
}

/// With sanitizers the memory is a multiple of what the program holds; tests check the gauges alone there.
inline void ExpectResidentUnder(pid_t pid, std::size_t max_bytes) {
#if !defined(__SANITIZE_ADDRESS__)
  EXPECT_LE(PeakResidentBytes(pid), max_bytes);
#else
  EXPECT_GT(PeakResidentBytes(pid), 0u);
  EXPECT_GT(max_bytes, 0u);
#endif
}

}  // namespace
