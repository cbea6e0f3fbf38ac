// Faults inside a program under test: its wall clock is set, its system calls fail.
#pragma once

#include <sys/mman.h>

#include "fault_control.hpp"
#include "program.hpp"

/// The control file of one program; Environment() has the program load the faults.
class ProcessFaults {
 public:
  ProcessFaults() : file_(std::string(sizeof(FaultControl), '\0')) {
    const int fd = ::open(file_.path.c_str(), O_RDWR | O_CLOEXEC);
    void* const at = ::mmap(nullptr, sizeof(FaultControl), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    ::close(fd);
    CHECK_OR_THROW(at != MAP_FAILED);
    control_ = static_cast<FaultControl*>(at);
  }
  ProcessFaults(const ProcessFaults&) = delete;
  ProcessFaults& operator=(const ProcessFaults&) = delete;
  ~ProcessFaults() { ::munmap(control_, sizeof(FaultControl)); }

  std::map<std::string, std::string> Environment() const {
    return {{"LD_PRELOAD", TINSPAN_FAULTS},
            {"TINSPAN_TEST_CLOCK", file_.path},
            {"ASAN_OPTIONS", "verify_asan_link_order=0"}};
  }
  /// The wall clock is so far from true time from now on.
  void SetWallClockOffset(std::chrono::microseconds offset) const {
    __atomic_store_n(&control_->wall_clock_offset_us, offset.count(), __ATOMIC_SEQ_CST);
  }
  /// The next `count` calls fail with `error`, or are short (kShortTransfer).
  void Fail(FaultyCall call, int error, int count) const {
    CallFault& fault = control_->calls[static_cast<int>(call)];
    fault.error = error;
    __atomic_store_n(&fault.remaining, count, __ATOMIC_SEQ_CST);
  }
  /// How many calls are still to fail.
  int Remaining(FaultyCall call) const {
    return __atomic_load_n(&control_->calls[static_cast<int>(call)].remaining, __ATOMIC_SEQ_CST);
  }

 private:
  TemporaryFile file_;
  FaultControl* control_ = nullptr;
};
