#include "lease/node_context.hpp"

#include <algorithm>

namespace tinspan::lease {

NodeContext::NodeContext(LeaseOptions options, std::string self, std::uint64_t seed)
    : options_(std::move(options)), self_(std::move(self)), random_(seed) {}

bool NodeContext::IsVoter(const std::string& member) const {
  return std::find(options_.voters.begin(), options_.voters.end(), member) != options_.voters.end();
}

Micros NodeContext::RandomBetween(Micros min, Micros max) {
  if (max <= min) return min;
  return Micros{std::uniform_int_distribution<std::int64_t>(min.count(), max.count())(random_)};
}

void NodeContext::Send(const std::string& recipient, const std::string& lease, MessageBody body) {
  Message message{lease, self_, std::move(body)};
  if (recipient == self_) {
    local_messages_.push_back(std::move(message));
    return;
  }
  ++stats_.messages_sent;
  outbound_messages_.push_back({recipient, std::move(message)});
}

void NodeContext::SendToVoters(const std::string& lease, const MessageBody& body) {
  for (const std::string& voter : options_.voters) Send(voter, lease, body);
}

}  // namespace tinspan::lease
