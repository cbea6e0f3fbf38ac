// What a test tells the faults that are loaded into a program under test (fault_shim.cpp), in a mapped file.
#pragma once

#include <cstdint>

/// The system calls that can be made to fail, in the order of FaultControl::calls.
enum class FaultyCall : std::uint8_t {
  kAccept,
  kSocket,
  kConnect,
  kReceive,   // recv
  kSend,      // send, sendmsg
  kWait,      // epoll_wait
  kRegister,  // epoll_ctl, adding
  kWrite,     // write to a regular file
  kSync,      // fsync, fdatasync
  kCount
};

/// How a call fails: the next `remaining` calls do, with `error`; -1 lets a read or write be one byte short
/// of what it could be: it takes at most one byte.
struct CallFault {
  std::int32_t error = 0;
  std::int32_t remaining = 0;
};

/// Every field may be changed while the program runs. A file that holds only the first field is valid.
struct FaultControl {
  std::int64_t wall_clock_offset_us = 0;
  CallFault calls[static_cast<int>(FaultyCall::kCount)];
};

constexpr std::int32_t kShortTransfer = -1;
