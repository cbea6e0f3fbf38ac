#include "lease/messages.hpp"

namespace tinspan::lease {
namespace {

// Returns the ballot field of each kind of message.
struct BallotVisitor {
  template <class Body>
  Token operator()(const Body& body) const {
    return body.ballot;
  }
  Token operator()(const Reject& body) const { return body.highest_ballot; }
  Token operator()(const LeaseFreed& body) const { return body.highest_ballot; }
  Token operator()(const RecoveryQuery&) const { return kNoToken; }
  Token operator()(const RecoveryReply& body) const { return body.granted; }
};

}  // namespace

Token BallotOf(const MessageBody& body) { return std::visit(BallotVisitor{}, body); }

}  // namespace tinspan::lease
