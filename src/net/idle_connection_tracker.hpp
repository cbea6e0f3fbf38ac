// Which accepted connections may stay: those that ask for nothing must not keep out the others. It knows ids
// and times only; its work follows those that are due, not all that are there.
#pragma once

#include <algorithm>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>

#include "net/clock.hpp"

namespace tinspan::net {

struct VisitorRules {
  std::size_t most = 256;   // at once
  Micros first{2'500'000};  // after which a newcomer that has sent nothing whole is let go
  Micros idle{30'000'000};  // the same for one that has its answers and asks no more
};

class Visitors {
 public:
  explicit Visitors(VisitorRules rules) : rules_(rules) {}

  bool IsFull() const { return entries_.size() >= rules_.most; }
  // A newcomer remains one, with the time of its coming, until something has been sent to it.
  void Came(std::uint64_t id, Micros since) { Put(id, newcomers_, since); }
  void Busy(std::uint64_t id) {  // something is owed to it
    const auto found = entries_.find(id);
    if (found != entries_.end()) Take(found->second);
  }
  void Idle(std::uint64_t id, Micros now) { Put(id, idle_, now); }
  void Left(std::uint64_t id) {
    const auto found = entries_.find(id);
    if (found == entries_.end()) return;
    Take(found->second);
    entries_.erase(found);
  }
  // One whose time is up; it is not named again.
  std::optional<std::uint64_t> Overdue(Micros now) {
    if (!newcomers_.empty() && now - newcomers_.front().since > rules_.first) return Out(newcomers_);
    if (!idle_.empty() && now - idle_.front().since > rules_.idle) return Out(idle_);
    return std::nullopt;
  }
  // One to make room for a newcomer: first who has been silent for long since it came, then the longest idle.
  std::optional<std::uint64_t> Spare(Micros now) {
    if (!newcomers_.empty() && now - newcomers_.front().since > rules_.first / 4) return Out(newcomers_);
    if (!idle_.empty()) return Out(idle_);
    if (!newcomers_.empty()) return Out(newcomers_);
    return std::nullopt;
  }
  // When Overdue will name the next.
  std::optional<Micros> NextDue() const {
    std::optional<Micros> due;
    if (!newcomers_.empty()) due = newcomers_.front().since + rules_.first;
    if (!idle_.empty()) due = std::min(due.value_or(Micros::max()), idle_.front().since + rules_.idle);
    return due;
  }

 private:
  struct Waiting {
    std::uint64_t id;
    Micros since;
  };
  using Queue = std::list<Waiting>;  // the longest waiting in front
  struct Entry {
    Queue* queue = nullptr;  // none: busy
    Queue::iterator place;
  };
  void Take(Entry& entry) {
    if (entry.queue != nullptr) entry.queue->erase(entry.place);
    entry.queue = nullptr;
  }
  void Put(std::uint64_t id, Queue& queue, Micros now) {
    Entry& entry = entries_[id];
    Take(entry);
    auto place = queue.end();
    if (!queue.empty() && now < queue.back().since) {  // one that was busy and is none the less a newcomer
      place = std::find_if(queue.begin(), queue.end(), [now](const Waiting& one) { return one.since > now; });
    }
    entry = {&queue, queue.insert(place, {id, now})};
  }
  std::uint64_t Out(Queue& queue) {
    const std::uint64_t id = queue.front().id;
    Left(id);
    return id;
  }
  VisitorRules rules_;
  Queue newcomers_;
  Queue idle_;
  std::unordered_map<std::uint64_t, Entry> entries_;
};

}  // namespace tinspan::net
