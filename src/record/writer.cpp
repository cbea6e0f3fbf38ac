#include "record/writer.hpp"

#include <fcntl.h>
#include <signal.h>
#include <unistd.h>

#include <cerrno>
#include <condition_variable>
#include <cstring>
#include <mutex>
#include <thread>
#include <utility>

#include "net/fd.hpp"

namespace tinspan::record {
namespace {

constexpr Micros kFinalWaitTimeout{500'000};

}  // namespace

struct Writer::State {
  std::mutex mutex;
  std::condition_variable work, idle;
  std::vector<Batch> queue;
  std::size_t pending_bytes = 0;
  bool is_writing = false;
  bool is_ending = false;
  std::string failure;

  // Used by the thread only.
  net::Fd fd;
  bool is_segment_broken = false;  // nothing more is written to it: records behind a hole cannot be read

  std::string Execute(const Batch& batch) {
    if (is_segment_broken && batch.new_path.empty()) return {};
    std::string error = Write(batch);
    is_segment_broken = !error.empty();
    return error;
  }

  std::string Write(const Batch& batch) {
    for (const std::string& path : batch.old_paths) ::unlink(path.c_str());
    if (!batch.new_path.empty()) {
      fd = net::Fd(::open(batch.new_path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_APPEND | O_CLOEXEC, 0600));
      if (!fd) return batch.new_path + ": " + std::strerror(errno);
    }
    std::string_view unwritten = batch.bytes;
    while (!unwritten.empty()) {
      const ssize_t count = ::write(fd.Get(), unwritten.data(), unwritten.size());
      if (count < 0 && errno == EINTR) continue;
      if (count < 0) return std::string("write: ") + std::strerror(errno);
      unwritten.remove_prefix(static_cast<std::size_t>(count));
    }
    return {};
  }

  void Run() {
    std::unique_lock held_lock(mutex);
    while (true) {
      work.wait(held_lock, [this] { return is_ending || !queue.empty(); });
      if (queue.empty()) return;
      const std::vector<Batch> batches = std::exchange(queue, {});
      is_writing = true;
      held_lock.unlock();
      std::string error;
      std::size_t processed_bytes = 0;
      for (const Batch& batch : batches) {
        const std::string batch_error = Execute(batch);
        if (error.empty()) error = batch_error;
        processed_bytes += batch.bytes.size();
      }
      held_lock.lock();
      is_writing = false;
      pending_bytes -= processed_bytes;
      if (!error.empty()) failure = std::move(error);
      if (queue.empty()) idle.notify_all();
    }
  }
};

Writer::Writer() : state_(std::make_shared<State>()) {
  // Exceeding the file size limit must fail the write with EFBIG instead of ending the program.
  ::signal(SIGXFSZ, SIG_IGN);
  // Signals are handled by the event loop, so the thread blocks all of them.
  sigset_t all, old_mask;
  sigfillset(&all);
  ::pthread_sigmask(SIG_SETMASK, &all, &old_mask);
  std::thread([state = state_] { state->Run(); }).detach();
  ::pthread_sigmask(SIG_SETMASK, &old_mask, nullptr);
}

Writer::~Writer() {
  WaitUntilIdle(kFinalWaitTimeout);
  const std::lock_guard held_lock(state_->mutex);
  state_->is_ending = true;
  state_->work.notify_one();
}

void Writer::Enqueue(Batch batch) {
  const std::lock_guard held_lock(state_->mutex);
  state_->pending_bytes += batch.bytes.size();
  state_->queue.push_back(std::move(batch));
  state_->work.notify_one();
}

std::size_t Writer::PendingBytes() const {
  const std::lock_guard held_lock(state_->mutex);
  return state_->pending_bytes;
}

std::string Writer::TakeFailure() {
  const std::lock_guard held_lock(state_->mutex);
  return std::exchange(state_->failure, {});
}

bool Writer::WaitUntilIdle(Micros timeout) {
  std::unique_lock held_lock(state_->mutex);
  return state_->idle.wait_for(held_lock, timeout,
                               [this] { return state_->queue.empty() && !state_->is_writing; });
}

}  // namespace tinspan::record
