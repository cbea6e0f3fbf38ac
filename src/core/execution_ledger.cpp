#include "core/execution_ledger.hpp"

#include <iterator>

namespace tinspan::core {

void ExecutionLedger::Record(OperationId operation, AttemptId attempt, Micros sent_at, Micros expires_at) {
  if (operation == OperationId{}) return;
  const auto known = by_operation_.find(operation);
  if (known != by_operation_.end()) {
    if (known->second->expires_at > sent_at) return;
    Erase(known->second);
  }
  if (entries_.size() >= kMaxEntries) Erase(entries_.begin());
  entries_.push_back({operation, attempt, sent_at, expires_at});
  by_operation_.emplace(operation, std::prev(entries_.end()));
}

void ExecutionLedger::Forget(OperationId operation, AttemptId attempt) {
  const auto known = by_operation_.find(operation);
  if (known != by_operation_.end() && known->second->attempt == attempt) Erase(known->second);
}

std::optional<Micros> ExecutionLedger::FirstExecutedAt(OperationId operation, Micros now) const {
  const auto known = by_operation_.find(operation);
  if (known == by_operation_.end() || known->second->expires_at <= now) return std::nullopt;
  return known->second->sent_at;
}

void ExecutionLedger::Prune(Micros now) {
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    const auto current = entry++;
    if (current->expires_at <= now) Erase(current);
  }
}

void ExecutionLedger::Erase(Entries::iterator entry) {
  by_operation_.erase(entry->operation);
  entries_.erase(entry);
}

}  // namespace tinspan::core
