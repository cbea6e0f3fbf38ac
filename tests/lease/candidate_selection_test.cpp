// Tests of the selection of candidates.
#include "lease/candidate_selection.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace tinspan::lease {
namespace {

std::vector<std::string> FiftyMembers() {
  std::vector<std::string> names;
  names.reserve(50);
  for (int i = 0; i < 50; ++i) names.push_back("n" + std::to_string(i));
  return names;
}

TEST(SelectCandidates, DoesNotDependOnTheOrderOfMembers) {
  std::vector<std::string> names = FiftyMembers();
  const auto selected = SelectCandidates("health", names, 3);
  ASSERT_EQ(selected.size(), 3u);
  std::reverse(names.begin(), names.end());
  EXPECT_EQ(SelectCandidates("health", names, 3), selected);
}

TEST(SelectCandidates, DiffersByLease) {
  EXPECT_NE(SelectCandidates("purge", FiftyMembers(), 3), SelectCandidates("health", FiftyMembers(), 3));
}

TEST(SelectCandidates, SelectsAllOfASmallFleet) {
  EXPECT_EQ(SelectCandidates("health", {"a"}, 3).size(), 1u);
}

}  // namespace
}  // namespace tinspan::lease
