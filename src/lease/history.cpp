#include "lease/history.hpp"

#include <algorithm>

namespace tinspan::lease {
namespace {

std::string Text(Token token) { return std::to_string(ToNumber(token)); }

}  // namespace

void History::RecordHold(Token token, const std::string& holder, Micros from, Micros until) {
  const auto [entry, is_new] = spans_.try_emplace(token, Span{holder, from, until});
  if (is_new) return;
  Span& span = entry->second;
  if (span.holder != holder) {
    shared_token_ = "token " + Text(token) + " is held by " + span.holder + " and by " + holder;
  }
  span.from = std::min(span.from, from);
  span.until = std::max(span.until, until);
}

void History::RecordEnd(Token token, Micros ended_at) {
  const auto found = spans_.find(token);
  if (found != spans_.end()) found->second.until = std::min(found->second.until, ended_at);
}

void History::RecordAcceptedWrite(Token token, std::uint64_t number) {
  ++accepted_writes_;
  if (write_violation_) return;
  if (token < last_token_) {
    write_violation_ = "a write of token " + Text(token) + " was accepted after one of " + Text(last_token_);
  } else if (number != last_number_ + 1) {
    write_violation_ =
        "write " + std::to_string(number) + " was accepted after " + std::to_string(last_number_);
  }
  last_token_ = token;
  last_number_ = number;
}

std::vector<History::TokenSpan> History::SpansByTime() const {
  std::vector<TokenSpan> spans(spans_.begin(), spans_.end());
  std::sort(spans.begin(), spans.end(), [](const TokenSpan& left, const TokenSpan& right) {
    return left.second.from < right.second.from;
  });
  return spans;
}

std::optional<std::string> History::FindOverlap() const {
  if (shared_token_) return shared_token_;
  const std::vector<TokenSpan> spans = SpansByTime();
  for (std::size_t i = 1; i < spans.size(); ++i) {
    const auto& [earlier_token, earlier] = spans[i - 1];
    const auto& [later_token, later] = spans[i];
    if (later.from >= earlier.until) continue;
    return "token " + Text(later_token) + " (" + later.holder + ") was held from " +
           std::to_string(later.from.count()) + ", before token " + Text(earlier_token) + " (" +
           earlier.holder + ") ended at " + std::to_string(earlier.until.count());
  }
  return std::nullopt;
}

std::optional<std::string> History::FindTokenOrderViolation() const {
  const std::vector<TokenSpan> spans = SpansByTime();
  for (std::size_t i = 1; i < spans.size(); ++i) {
    if (spans[i].first < spans[i - 1].first) {
      return "token " + Text(spans[i].first) + " was granted after " + Text(spans[i - 1].first);
    }
  }
  return std::nullopt;
}

std::optional<std::string> History::FindViolation() const {
  if (auto violation = FindOverlap()) return violation;
  if (auto violation = FindTokenOrderViolation()) return violation;
  return FindWriteViolation();
}

}  // namespace tinspan::lease
