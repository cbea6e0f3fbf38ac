// Preloaded into a program under test: its wall clock is off by as many microseconds as the file named in
// TINSPAN_TEST_CLOCK holds (8 bytes, mapped, so that a test can move the clock while the program runs). With
// TINSPAN_TEST_RATE its clocks that never step back run so many times as fast as true time.
#include <dlfcn.h>
#include <fcntl.h>
#include <sys/mman.h>
#include <time.h>

#include <cstdint>
#include <cstdlib>

namespace {

using ClockGetTime = int (*)(clockid_t, timespec*);

const volatile std::int64_t* Offset() {
  static const volatile std::int64_t* const kOffset = []() -> const volatile std::int64_t* {
    const char* const path = std::getenv("TINSPAN_TEST_CLOCK");
    const int fd = path == nullptr ? -1 : ::open(path, O_RDONLY | O_CLOEXEC);
    void* const at =
        fd < 0 ? MAP_FAILED : ::mmap(nullptr, sizeof(std::int64_t), PROT_READ, MAP_SHARED, fd, 0);
    return at == MAP_FAILED ? nullptr : static_cast<const volatile std::int64_t*>(at);
  }
  ();
  return kOffset;
}

double Rate() {
  static const double kRate = []() {
    const char* const told = std::getenv("TINSPAN_TEST_RATE");
    return told == nullptr ? 1.0 : std::atof(told);
  }();
  return kRate;
}

}  // namespace

extern "C" int clock_gettime(clockid_t clock, timespec* out) noexcept {
  static const auto kReal = reinterpret_cast<ClockGetTime>(::dlsym(RTLD_NEXT, "clock_gettime"));
  const int result = kReal(clock, out);
  if (result == 0 && (clock == CLOCK_MONOTONIC || clock == CLOCK_BOOTTIME) && Rate() != 1.0) {
    const double seconds =
        (static_cast<double>(out->tv_sec) + static_cast<double>(out->tv_nsec) / 1e9) * Rate();
    out->tv_sec = static_cast<time_t>(seconds);
    out->tv_nsec = static_cast<long>((seconds - static_cast<double>(out->tv_sec)) * 1e9);
    return result;
  }
  if (result != 0 || clock != CLOCK_REALTIME || Offset() == nullptr) return result;
  std::int64_t nanos = out->tv_nsec + (*Offset() % 1'000'000) * 1000;
  out->tv_sec += *Offset() / 1'000'000;
  for (; nanos < 0; nanos += 1'000'000'000) --out->tv_sec;
  for (; nanos >= 1'000'000'000; nanos -= 1'000'000'000) ++out->tv_sec;
  out->tv_nsec = nanos;
  return 0;
}
