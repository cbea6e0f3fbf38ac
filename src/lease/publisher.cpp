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

Publisher::Verdict Publisher::OnRead(Micros now, const Stored& stored) {
  out_ = false;
  failed_ = 0;
  stored_ = stored;
  seen_ = stored.token;
  number_ = stored.number;
  const bool ours = wrote_ != 0 && stored.token == wrote_under_ && stored.number == wrote_;
  if (wrote_ != 0 && !ours && stored.token > wrote_under_) ++fenced_;
  wrote_ = 0;
  if (stored.token > held_) {
    due_ = now + every_;
    return Verdict::kNewer;
  }
  if (ours) {
    ++published_;
    due_ = now + every_;  // read again then: the index of our own write is not told by it
    return Verdict::kPublished;
  }
  read_ = true;
  due_ = now;
  return Verdict::kNothing;
}

void Publisher::OnWrite(bool) { out_ = false; }

void Publisher::OnFailed(Micros now) {
  out_ = false;
  read_ = false;
  ++failures_;
  due_ = now + std::min(kMostWait, kFirstWait * (std::int64_t{1} << std::min(failed_, 5)));
  ++failed_;
}

}  // namespace tinspan::lease
