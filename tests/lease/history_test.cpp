// Tests of the history checker, with one violation of each invariant, and of the fence.
#include "lease/history.hpp"

#include <gtest/gtest.h>

#include "lease/fence.hpp"

namespace tinspan::lease {
namespace {

using namespace std::chrono_literals;

TEST(History, OverlappingHoldsAreAViolation) {
  History history;
  history.RecordHold(Token{5}, "a", 0s, 10s);
  history.RecordHold(Token{6}, "b", 9s, 12s);
  EXPECT_TRUE(history.FindViolation());
  EXPECT_TRUE(history.FindOverlap());
}

TEST(History, LaterHoldUnderALowerTokenIsAViolation) {
  History history;
  history.RecordHold(Token{6}, "a", 0s, 1s);
  history.RecordHold(Token{5}, "b", 2s, 3s);
  EXPECT_TRUE(history.FindViolation());
  EXPECT_TRUE(history.FindTokenOrderViolation());
}

TEST(History, TokenOfTwoHoldersIsAViolation) {
  History history;
  history.RecordHold(Token{5}, "a", 0s, 1s);
  history.RecordHold(Token{5}, "b", 2s, 3s);
  EXPECT_TRUE(history.FindViolation());
  EXPECT_TRUE(history.FindOverlap());
}

TEST(History, WriteUnderAnOlderTokenIsAViolation) {
  History history;
  history.RecordAcceptedWrite(Token{6}, 1);
  history.RecordAcceptedWrite(Token{5}, 2);
  EXPECT_TRUE(history.FindViolation());
  EXPECT_TRUE(history.FindWriteViolation());
}

TEST(History, RepeatedWriteIsAViolation) {
  History history;
  history.RecordAcceptedWrite(Token{5}, 1);
  history.RecordAcceptedWrite(Token{5}, 1);
  EXPECT_TRUE(history.FindViolation());
  EXPECT_TRUE(history.FindWriteViolation());
}

TEST(History, EarlyEndAndRejectedWriteAreNoViolation) {
  History history;
  history.RecordHold(Token{5}, "a", 0s, 10s);
  history.RecordEnd(Token{5}, 4s);
  history.RecordHold(Token{6}, "b", 5s, 12s);
  history.RecordAcceptedWrite(Token{5}, 1);
  history.RecordRejectedWrite();
  history.RecordAcceptedWrite(Token{6}, 2);
  EXPECT_FALSE(history.FindViolation());
}

TEST(Fence, AdmitsTheHighestTokenAgain) {
  Fence fence;
  EXPECT_TRUE(fence.Admit("health", Token{4}));
  EXPECT_TRUE(fence.Admit("health", Token{4}));
}

TEST(Fence, RejectsAnOlderToken) {
  Fence fence;
  EXPECT_TRUE(fence.Admit("health", Token{4}));
  EXPECT_FALSE(fence.Admit("health", Token{3}));
  EXPECT_EQ(fence.Highest("health"), Token{4});
}

TEST(Fence, TracksEachLeaseSeparately) {
  Fence fence;
  EXPECT_TRUE(fence.Admit("health", Token{4}));
  EXPECT_TRUE(fence.Admit("purge", Token{3}));
}

}  // namespace
}  // namespace tinspan::lease
