#include "lease/history.hpp"

#include <algorithm>

namespace tinspan::lease {
namespace {

std::string Text(Token token) { return std::to_string(Number(token)); }

}  // namespace

void History::Held(Token token, const std::string& holder, Micros from, Micros to) {
  const auto [at, fresh] = spans_.try_emplace(token, Span{holder, from, to});
  if (fresh) return;
  if (at->second.holder != holder) {
    shared_ = "token " + Text(token) + " is held by " + at->second.holder + " and by " + holder;
  }
  at->second.from = std::min(at->second.from, from);
  at->second.to = std::max(at->second.to, to);
}

void History::Ended(Token token, Micros at) {
  const auto found = spans_.find(token);
  if (found != spans_.end()) found->second.to = std::min(found->second.to, at);
}

void History::Effect(Token token, std::uint64_t number, bool taken) {
  if (!taken) {
    ++refused_;
    return;
  }
  ++taken_;
  if (broken_) return;
  if (token < last_) {
    broken_ = "an effect of token " + Text(token) + " was taken after one of " + Text(last_);
  } else if (number != number_ + 1) {
    broken_ = "effect " + std::to_string(number) + " was taken after " + std::to_string(number_);
  }
  last_ = token;
  number_ = number;
}

std::vector<History::Dated> History::ByTime() const {
  std::vector<Dated> dated(spans_.begin(), spans_.end());
  std::sort(dated.begin(), dated.end(),
            [](const Dated& a, const Dated& b) { return a.second.from < b.second.from; });
  return dated;
}

std::optional<std::string> History::Overlap() const {
  if (shared_) return shared_;
  const std::vector<Dated> dated = ByTime();
  for (std::size_t i = 1; i < dated.size(); ++i) {
    const auto& [before, first] = dated[i - 1];
    const auto& [after, second] = dated[i];
    if (second.from < first.to) {
      return "token " + Text(after) + " (" + second.holder + ") was held from " +
             std::to_string(second.from.count()) + ", before token " + Text(before) + " (" + first.holder +
             ") ended at " + std::to_string(first.to.count());
    }
  }
  return std::nullopt;
}

std::optional<std::string> History::OutOfOrder() const {
  const std::vector<Dated> dated = ByTime();
  for (std::size_t i = 1; i < dated.size(); ++i) {
    if (dated[i].first < dated[i - 1].first) {
      return "token " + Text(dated[i].first) + " was granted after " + Text(dated[i - 1].first);
    }
  }
  return std::nullopt;
}

std::optional<std::string> History::Broken() const {
  if (auto broken = Overlap()) return broken;
  if (auto broken = OutOfOrder()) return broken;
  return Effects();
}

}  // namespace tinspan::lease
