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

constexpr Micros kLastWait{500'000};

}  // namespace

struct Writer::State {
  std::mutex lock;
  std::condition_variable work, idle;
  std::vector<Order> orders;
  std::size_t waiting = 0;
  bool busy = false;
  bool end = false;
  std::string failure;

  // The thread's alone.
  net::Fd fd;
  bool is_segment_broken = false;  // nothing more goes into it: what follows a hole cannot be read

  std::string Do(const Order& order) {
    if (is_segment_broken && order.open.empty()) return {};
    std::string error = Write(order);
    is_segment_broken = !error.empty();
    return error;
  }

  std::string Write(const Order& order) {
    for (const std::string& path : order.remove) ::unlink(path.c_str());
    if (!order.open.empty()) {
      fd = net::Fd(::open(order.open.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_APPEND | O_CLOEXEC, 0600));
      if (!fd) return order.open + ": " + std::strerror(errno);
    }
    std::string_view left = order.bytes;
    while (!left.empty()) {
      const ssize_t count = ::write(fd.Get(), left.data(), left.size());
      if (count < 0 && errno == EINTR) continue;
      if (count < 0) return std::string("write: ") + std::strerror(errno);
      left.remove_prefix(static_cast<std::size_t>(count));
    }
    return {};
  }

  void Work() {
    std::unique_lock held(lock);
    while (true) {
      work.wait(held, [this] { return end || !orders.empty(); });
      if (orders.empty()) return;
      const std::vector<Order> batch = std::exchange(orders, {});
      busy = true;
      held.unlock();
      std::string error;
      std::size_t done = 0;
      for (const Order& order : batch) {
        const std::string order_error = Do(order);
        if (error.empty()) error = order_error;
        done += order.bytes.size();
      }
      held.lock();
      busy = false;
      waiting -= done;
      if (!error.empty()) failure = std::move(error);
      if (orders.empty()) idle.notify_all();
    }
  }
};

Writer::Writer() : state_(std::make_shared<State>()) {
  // A file over the limit on sizes is an error to be told, not the end of the program.
  ::signal(SIGXFSZ, SIG_IGN);
  // Signals are the loop's: the thread takes none.
  sigset_t all, before;
  sigfillset(&all);
  ::pthread_sigmask(SIG_SETMASK, &all, &before);
  std::thread([state = state_] { state->Work(); }).detach();
  ::pthread_sigmask(SIG_SETMASK, &before, nullptr);
}

Writer::~Writer() {
  Settle(kLastWait);
  const std::lock_guard held(state_->lock);
  state_->end = true;
  state_->work.notify_one();
}

void Writer::Give(Order order) {
  const std::lock_guard held(state_->lock);
  state_->waiting += order.bytes.size();
  state_->orders.push_back(std::move(order));
  state_->work.notify_one();
}

std::size_t Writer::Waiting() const {
  const std::lock_guard held(state_->lock);
  return state_->waiting;
}

std::string Writer::TakeFailure() {
  const std::lock_guard held(state_->lock);
  return std::exchange(state_->failure, {});
}

bool Writer::Settle(Micros most) {
  std::unique_lock held(state_->lock);
  return state_->idle.wait_for(held, most, [this] { return state_->orders.empty() && !state_->busy; });
}

}  // namespace tinspan::record
