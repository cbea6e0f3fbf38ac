// Injects faults into a program under test: shifts its wall clock and makes its system calls fail.
#pragma once

#include <sys/mman.h>

#include "fault_control.hpp"
#include "program.hpp"

/// The fault control file of one program. Start the program with Environment(), which preloads the fault
/// shim.
class ProcessFaults {
 public:
  ProcessFaults() : file_(std::string(sizeof(FaultControl), '\0')) {
    const int fd = ::open(file_.path.c_str(), O_RDWR | O_CLOEXEC);
    void* const mapping = ::mmap(nullptr, sizeof(FaultControl), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    ::close(fd);
    CHECK_OR_THROW(mapping != MAP_FAILED);
    control_ = static_cast<FaultControl*>(mapping);
  }
  ProcessFaults(const ProcessFaults&) = delete;
  ProcessFaults& operator=(const ProcessFaults&) = delete;
  ~ProcessFaults() { ::munmap(control_, sizeof(FaultControl)); }

  std::map<std::string, std::string> Environment() const {
    return {{"LD_PRELOAD", TINSPAN_FAULTS},
            {"TINSPAN_TEST_CLOCK", file_.path},
            {"ASAN_OPTIONS", "verify_asan_link_order=0"}};
  }
  /// Sets the offset of the program's wall clock from the true time.
  void SetWallClockOffset(std::chrono::microseconds offset) const {
    __atomic_store_n(&control_->wall_clock_offset_us, offset.count(), __ATOMIC_SEQ_CST);
  }
  /// Makes the next `count` calls fail with `error`, or transfer one byte only if it is kShortTransfer.
  void Fail(FaultyCall call, int error, int count) const {
    CallFault& fault = control_->calls[static_cast<int>(call)];
    fault.error = error;
    __atomic_store_n(&fault.remaining, count, __ATOMIC_SEQ_CST);
  }
  /// The number of calls that are still to fail.
  int Remaining(FaultyCall call) const {
    return __atomic_load_n(&control_->calls[static_cast<int>(call)].remaining, __ATOMIC_SEQ_CST);
  }

 private:
  TemporaryFile file_;
  FaultControl* control_ = nullptr;
};
