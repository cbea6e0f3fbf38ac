#include "lease/publisher.hpp"

#include <algorithm>

namespace tinspan::lease {

std::optional<Ask> Publisher::Next(Micros now, std::optional<Token> held) {
  if (out_ || !held) return std::nullopt;
  if (*held != held_) {  // a new grant: look first, then claim at once
    held_ = *held;
    read_ = false;
    failed_ = 0;
    due_ = now;
  }
  if (now < due_) return std::nullopt;
  out_ = true;
  if (!read_) return Ask{Ask::What::kRead, 0, held_, 0};
  read_ = false;
  wrote_ = number_ + 1;
  wrote_under_ = held_;
  return Ask{Ask::What::kWrite, stored_.index, held_, wrote_};
}

bool Publisher::OnRead(Micros now, const Stored& stored) {
  out_ = false;
  failed_ = 0;
  stored_ = stored;
  number_ = stored.number;
  const bool ours = wrote_ != 0 && stored.token == wrote_under_ && stored.number == wrote_;
  if (wrote_ != 0 && !ours && stored.token > wrote_under_) ++fenced_;
  wrote_ = 0;
  published_ += ours;
  // Where our own write stands, the next one is due later, on the index read now; else it is due at once.
  const bool newer = stored.token > held_;
  read_ = !newer;
  due_ = ours || newer ? now + every_ : now;
  return newer;
}

void Publisher::OnFailed(Micros now) {
  out_ = false;
  read_ = false;
  ++failures_;
  due_ = now + std::min(kMostWait, kFirstWait * (std::int64_t{1} << std::min(failed_, 5)));
  ++failed_;
}

}  // namespace tinspan::lease
