// Preloaded into a program under test: its wall clock is off by as many microseconds as the file named in
// TINSPAN_TEST_CLOCK holds (8 bytes, mapped, so that a test can move the clock while the program runs).
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

}  // namespace

extern "C" int clock_gettime(clockid_t clock, timespec* out) noexcept {
  static const auto kReal = reinterpret_cast<ClockGetTime>(::dlsym(RTLD_NEXT, "clock_gettime"));
  const int result = kReal(clock, out);
  if (result != 0 || clock != CLOCK_REALTIME || Offset() == nullptr) return result;
  std::int64_t nanos = out->tv_nsec + (*Offset() % 1'000'000) * 1000;
  out->tv_sec += *Offset() / 1'000'000;
  for (; nanos < 0; nanos += 1'000'000'000) --out->tv_sec;
  for (; nanos >= 1'000'000'000; nanos -= 1'000'000'000) ++out->tv_sec;
  out->tv_nsec = nanos;
  return 0;
}
