// The parts of a membership view, connected as in MembershipView, for unit tests of one part.
#pragma once

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "members/dissemination.hpp"
#include "members/local_health.hpp"
#include "members/member_table.hpp"
#include "members/message.hpp"
#include "members/options.hpp"
#include "members/outbox.hpp"
#include "members/types.hpp"

namespace tinspan::members {

constexpr Micros kStart = std::chrono::seconds(1'000);
constexpr std::uint16_t kSelfPort = 7'000;

// Returns an update for an alive member at incarnation 1.
inline MemberUpdate AliveUpdate(const std::string& name, std::uint16_t port) {
  MemberUpdate update;
  update.name = name;
  update.address = {0x7f000001, port};
  update.incarnation = 1;
  return update;
}

class MembershipUnitTest : public testing::Test {
 protected:
  Member& AddMember(const std::string& name, std::uint16_t port) {
    Member& member = table_.Insert(kStart, AliveUpdate(name, port));
    table_.UpdateDigest(member);
    return member;
  }
  void SetState(Member& member, State state, Micros now = kStart) {
    table_.SetState(now, member, state, member.incarnation, Micros{0});
    table_.UpdateDigest(member);
  }

  Options options_;
  MembershipStats stats_;
  std::mt19937_64 random_{1};
  LocalHealth health_{options_};
  MemberTable table_{AliveUpdate("self", kSelfPort), options_.dead_retention, kStart};
  DisseminationQueue dissemination_{options_, table_, stats_};
  Outbox outbox_{table_, dissemination_};
};

}  // namespace tinspan::members
