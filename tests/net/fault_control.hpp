// Layout of the memory-mapped file through which a test controls fault_shim.cpp in a program under test.
#pragma once

#include <cstdint>

/// The system calls that can be made to fail; the index into FaultControl::calls.
enum class FaultyCall : std::uint8_t {
  kAccept,
  kSocket,
  kConnect,
  kReceive,   // recv
  kSend,      // send, sendmsg
  kWait,      // epoll_wait
  kRegister,  // epoll_ctl with EPOLL_CTL_ADD
  kWrite,     // write to a regular file
  kSync,      // fsync, fdatasync
  kCount
};

/// The next `remaining` calls fail with the errno value `error`. With `error` == kShortTransfer a read or
/// write does not fail but transfers at most one byte.
struct CallFault {
  std::int32_t error = 0;
  std::int32_t remaining = 0;
};

/// Every field may be changed while the program runs. A file that holds only the first field is valid.
/// `wall_clock_offset_us` is added to the program's wall clock, in microseconds.
struct FaultControl {
  std::int64_t wall_clock_offset_us = 0;
  CallFault calls[static_cast<int>(FaultyCall::kCount)];
};

/// The value of CallFault::error for a short read or write.
constexpr std::int32_t kShortTransfer = -1;
