#include "lease/purge_distributor.hpp"

#include <algorithm>

namespace tinspan::lease {

Job Fanout::Aged(const Job& job, Micros born, Micros now) const {
  Job aged = job;
  aged.age = now - born;
  return aged;
}

void Fanout::Send(const std::string& to, FanKind kind, Token token, Job job) {
  FanMessage message;
  message.kind = kind;
  message.from = self_;
  message.token = token;
  message.job = std::move(job);
  out_.push_back({to, std::move(message)});
}

bool Fanout::Remember(const std::string& id) {
  if (!applied_.insert(id).second) return false;
  applied_order_.push_back(id);
  if (applied_order_.size() > kMostApplied) {
    applied_.erase(applied_order_.front());
    applied_order_.pop_front();
  }
  return true;
}

bool Fanout::Begin(Micros now, Job job) {
  if (mine_.size() >= kMostJobs) return false;
  job.id = self_ + "/" + std::to_string(start_) + "." + std::to_string(++last_);
  Remember(job.id);
  Mine& mine = mine_[job.id];
  mine.job = std::move(job);
  mine.born = mine.due = now;
  return true;
}

void Fanout::TakeOn(Micros now, const Job& job, Micros born) {
  if (work_.contains(job.id) || work_.size() >= kMostJobs) return;
  Work& work = work_[job.id];
  work.job = job;
  work.born = born;
  work.next = now;
}

void Fanout::Receive(Micros now, const FanMessage& message, std::optional<Token> held) {
  const Job& job = message.job;
  const Micros age = std::clamp(job.age, Micros{0}, keep_);
  switch (message.kind) {
    case FanKind::kHand:
      if (!held || age >= keep_) return;  // it will be handed to whoever holds
      TakeOn(now, job, now - age);
      if (!work_.contains(job.id)) return;  // too many: handed again later
      // The origin has it, and nobody else hands it on.
      if (job.id.starts_with(message.from + "/")) work_[job.id].done.insert(message.from);
      Send(message.from, FanKind::kTaken, *held, Job{job.id, 0, {}, {}});
      return;
    case FanKind::kTaken:
      if (const auto mine = mine_.find(job.id); mine != mine_.end()) mine->second.taken = true;
      return;
    case FanKind::kApply:
      if (!fence_.Admit(kPurge, message.token)) {
        ++refused_;
        Send(message.from, FanKind::kOlder, fence_.Highest(kPurge), Job{job.id, 0, {}, {}});
        return;
      }
      if (Remember(job.id)) {
        ++applied_count_;
        apply_.push_back(job);
      }
      Send(message.from, FanKind::kApplied, message.token, Job{job.id, 0, {}, {}});
      return;
    case FanKind::kApplied:
      // Only from whom it was sent to: names that nobody has would fill the memory.
      if (const auto work = work_.find(job.id);
          held && work != work_.end() && work->second.sent.erase(message.from) > 0) {
        work->second.done.insert(message.from);
      }
      return;
    case FanKind::kOlder:
      if (held && message.token > *held) newer_ = std::max(newer_, message.token);
      return;
  }
}

void Fanout::Tick(Micros now, const std::string& holder, std::optional<Token> held,
                  const std::vector<std::string>& alive) {
  if (held != under_) {  // what was done under another token is begun anew, from what origins hand on
    work_.clear();
    under_ = held;
  }
  for (auto at = mine_.begin(); at != mine_.end();) {
    Mine& mine = at->second;
    if (now - mine.born >= keep_) {
      at = mine_.erase(at);
      continue;
    }
    if (held) {
      TakeOn(now, mine.job, mine.born);
      mine.taken = true;
      if (const auto work = work_.find(at->first); work != work_.end()) work->second.done.insert(self_);
      mine.due = now + kAgain;
    } else if (now >= mine.due && !holder.empty() && holder != self_) {
      Send(holder, FanKind::kHand, kNoToken, Aged(mine.job, mine.born, now));
      // Once taken it is handed on slowly, so that a holder that comes after the one that took it has it too.
      mine.due = now + (mine.taken ? kAgain : kRetry);
    } else if (now >= mine.due) {
      mine.due = now + kRetry;  // nobody is known to hold it yet
    }
    ++at;
  }
  if (held) Spread(now, *held, alive);
}

// A purge that all have is looked at once a kAgain, for who comes alive; one that some have not, each kRetry.
void Fanout::Spread(Micros now, Token held, const std::vector<std::string>& alive) {
  std::size_t sent = 0, looked = 0;
  for (auto at = work_.begin(); at != work_.end();) {
    Work& work = at->second;
    if (now - work.born >= keep_) {
      at = work_.erase(at);
      continue;
    }
    const auto here = at++;
    if (now < work.next || sent >= kMostRound || looked >= kMostLooked) continue;
    bool all = true;
    for (const std::string& member : alive) {
      ++looked;
      if (work.done.contains(member)) continue;
      if (member == self_) {
        work.done.insert(self_);
        if (Remember(here->first)) {
          ++applied_count_;
          apply_.push_back(Aged(work.job, work.born, now));
        }
        continue;
      }
      all = false;
      const auto [last, fresh] = work.sent.try_emplace(member, now);
      if (!fresh && now - last->second < kRetry) continue;
      last->second = now;
      Send(member, FanKind::kApply, held, Aged(work.job, work.born, now));
      if (++sent >= kMostRound) break;
    }
    // A burst that was cut short goes on soon: bursts, not floods.
    work.next = now + (all ? kAgain : sent >= kMostRound ? kBurst : kRetry);
  }
}

Micros Fanout::NextDue() const {
  Micros due = Micros::max();
  for (const auto& [id, mine] : mine_) due = std::min(due, mine.due);
  for (const auto& [id, work] : work_) due = std::min(due, work.next);
  return due;
}

}  // namespace tinspan::lease
