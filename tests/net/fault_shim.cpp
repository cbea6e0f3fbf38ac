// Library that is preloaded into a program under test (LD_PRELOAD). It shifts the program's wall clock and
// makes its system calls fail, as the file named in TINSPAN_TEST_CLOCK says (layout: fault_control.hpp). The
// file is memory-mapped, so that a test can change it while the program runs. TINSPAN_TEST_RATE is the speed
// of the monotonic clocks (CLOCK_MONOTONIC, CLOCK_BOOTTIME) relative to true time.
#include <dlfcn.h>
#include <fcntl.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <cstdlib>

#include "fault_control.hpp"

namespace {

// The mapped control file; nullptr if there is none.
FaultControl* MappedControl() {
  static FaultControl* const kControl = []() -> FaultControl* {
    const char* const path = std::getenv("TINSPAN_TEST_CLOCK");
    const int fd = path == nullptr ? -1 : ::open(path, O_RDWR | O_CLOEXEC);
    if (fd < 0) return nullptr;
    void* const mapping = ::mmap(nullptr, sizeof(FaultControl), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    ::close(fd);
    return mapping == MAP_FAILED ? nullptr : static_cast<FaultControl*>(mapping);
  }();
  return kControl;
}

// The speed of the monotonic clocks relative to true time.
double MonotonicClockRate() {
  static const double kRate = []() {
    const char* const value = std::getenv("TINSPAN_TEST_RATE");
    return value == nullptr ? 1.0 : std::atof(value);
  }();
  return kRate;
}

// The next definition of the function, as a rule the C library's.
template <class Function>
Function NextDefinition(const char* name) {
  return reinterpret_cast<Function>(::dlsym(RTLD_NEXT, name));
}

// Consumes one fault of `call` and returns its error; 0 if none is left.
std::int32_t NextFault(FaultyCall call) {
  FaultControl* const control = MappedControl();
  if (control == nullptr) return 0;
  CallFault& fault = control->calls[static_cast<int>(call)];
  if (__atomic_load_n(&fault.remaining, __ATOMIC_RELAXED) <= 0) return 0;
  if (__atomic_fetch_sub(&fault.remaining, 1, __ATOMIC_RELAXED) <= 0) return 0;
  return fault.error;
}

// Consumes one fault of `call`; if it is an error, sets errno and returns true.
bool Fails(FaultyCall call) {
  const std::int32_t error = NextFault(call);
  if (error > 0) errno = error;
  return error > 0;
}

bool IsRegularFile(int fd) {
  struct stat status {};
  return ::fstat(fd, &status) == 0 && S_ISREG(status.st_mode);
}

}  // namespace

extern "C" {

int clock_gettime(clockid_t clock, timespec* out) noexcept {
  static const auto kNext = NextDefinition<int (*)(clockid_t, timespec*)>("clock_gettime");
  const int result = kNext(clock, out);
  if (result == 0 && (clock == CLOCK_MONOTONIC || clock == CLOCK_BOOTTIME) && MonotonicClockRate() != 1.0) {
    const double seconds =
        (static_cast<double>(out->tv_sec) + static_cast<double>(out->tv_nsec) / 1e9) * MonotonicClockRate();
    out->tv_sec = static_cast<time_t>(seconds);
    out->tv_nsec = static_cast<long>((seconds - static_cast<double>(out->tv_sec)) * 1e9);
    return result;
  }
  if (result != 0 || clock != CLOCK_REALTIME || MappedControl() == nullptr) return result;
  const std::int64_t offset = __atomic_load_n(&MappedControl()->wall_clock_offset_us, __ATOMIC_RELAXED);
  std::int64_t nanos = out->tv_nsec + (offset % 1'000'000) * 1000;
  out->tv_sec += offset / 1'000'000;
  for (; nanos < 0; nanos += 1'000'000'000) --out->tv_sec;
  for (; nanos >= 1'000'000'000; nanos -= 1'000'000'000) ++out->tv_sec;
  out->tv_nsec = nanos;
  return 0;
}

int accept4(int fd, sockaddr* address, socklen_t* size, int flags) {
  static const auto kNext = NextDefinition<int (*)(int, sockaddr*, socklen_t*, int)>("accept4");
  return Fails(FaultyCall::kAccept) ? -1 : kNext(fd, address, size, flags);
}

int socket(int domain, int type, int protocol) noexcept {
  static const auto kNext = NextDefinition<int (*)(int, int, int)>("socket");
  return Fails(FaultyCall::kSocket) ? -1 : kNext(domain, type, protocol);
}

int connect(int fd, const sockaddr* address, socklen_t size) {
  static const auto kNext = NextDefinition<int (*)(int, const sockaddr*, socklen_t)>("connect");
  return Fails(FaultyCall::kConnect) ? -1 : kNext(fd, address, size);
}

ssize_t recv(int fd, void* buffer, size_t size, int flags) {
  static const auto kNext = NextDefinition<ssize_t (*)(int, void*, size_t, int)>("recv");
  const std::int32_t fault = NextFault(FaultyCall::kReceive);
  if (fault > 0) errno = fault;
  if (fault > 0) return -1;
  return kNext(fd, buffer, fault == kShortTransfer && size > 1 ? 1 : size, flags);
}

ssize_t send(int fd, const void* buffer, size_t size, int flags) {
  static const auto kNext = NextDefinition<ssize_t (*)(int, const void*, size_t, int)>("send");
  const std::int32_t fault = NextFault(FaultyCall::kSend);
  if (fault > 0) errno = fault;
  if (fault > 0) return -1;
  return kNext(fd, buffer, fault == kShortTransfer && size > 1 ? 1 : size, flags);
}

ssize_t sendmsg(int fd, const msghdr* message, int flags) {
  static const auto kNext = NextDefinition<ssize_t (*)(int, const msghdr*, int)>("sendmsg");
  const std::int32_t fault = NextFault(FaultyCall::kSend);
  if (fault > 0) errno = fault;
  if (fault > 0) return -1;
  if (fault != kShortTransfer || message->msg_iovlen == 0 || message->msg_iov[0].iov_len == 0) {
    return kNext(fd, message, flags);
  }
  iovec first{message->msg_iov[0].iov_base, 1};
  msghdr shortened = *message;
  shortened.msg_iov = &first;
  shortened.msg_iovlen = 1;
  return kNext(fd, &shortened, flags);
}

int epoll_wait(int fd, epoll_event* events, int max_events, int timeout) {
  static const auto kNext = NextDefinition<int (*)(int, epoll_event*, int, int)>("epoll_wait");
  return Fails(FaultyCall::kWait) ? -1 : kNext(fd, events, max_events, timeout);
}

int epoll_ctl(int fd, int operation, int target, epoll_event* event) noexcept {
  static const auto kNext = NextDefinition<int (*)(int, int, int, epoll_event*)>("epoll_ctl");
  if (operation == EPOLL_CTL_ADD && Fails(FaultyCall::kRegister)) return -1;
  return kNext(fd, operation, target, event);
}

ssize_t write(int fd, const void* buffer, size_t size) {
  static const auto kNext = NextDefinition<ssize_t (*)(int, const void*, size_t)>("write");
  if (!IsRegularFile(fd)) return kNext(fd, buffer, size);
  const std::int32_t fault = NextFault(FaultyCall::kWrite);
  if (fault > 0) errno = fault;
  if (fault > 0) return -1;
  return kNext(fd, buffer, fault == kShortTransfer && size > 1 ? 1 : size);
}

int fsync(int fd) {
  static const auto kNext = NextDefinition<int (*)(int)>("fsync");
  return Fails(FaultyCall::kSync) ? -1 : kNext(fd);
}

int fdatasync(int fd) {
  static const auto kNext = NextDefinition<int (*)(int)>("fdatasync");
  return Fails(FaultyCall::kSync) ? -1 : kNext(fd);
}

}  // extern "C"
