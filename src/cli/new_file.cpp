#include "cli/new_file.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>

#include "net/fd.hpp"

namespace tinspan::cli {
namespace {

[[noreturn]] void ThrowFileError(const std::string& path, int error) {
  throw std::runtime_error(path + ": " +
                           (error == EEXIST ? "exists already and is not replaced" : std::strerror(error)));
}

void WriteNewFile(const std::string& path, std::string_view text) {
  const net::Fd fd(::open(path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_NOFOLLOW | O_CLOEXEC, 0600));
  if (!fd) ThrowFileError(path, errno);
  while (!text.empty()) {
    const ssize_t count = ::write(fd.Get(), text.data(), text.size());
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) {
      const int error = errno;
      ::unlink(path.c_str());
      ThrowFileError(path, error);
    }
    text.remove_prefix(static_cast<std::size_t>(count));
  }
}

}  // namespace

void WriteNewFiles(const std::vector<std::pair<std::string, std::string>>& files) {
  std::size_t written = 0;
  try {
    for (; written < files.size(); ++written) WriteNewFile(files[written].first, files[written].second);
  } catch (...) {
    while (written > 0) ::unlink(files[--written].first.c_str());
    throw;
  }
}

}  // namespace tinspan::cli
