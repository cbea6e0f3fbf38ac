// Parsing of field lists and of numbers.
#include "front/platform/fields.hpp"

#include <gtest/gtest.h>

#include <cstdint>
#include <string>

namespace tinspan::platform {
namespace {

struct Visited {
  FieldListStatus result;
  std::string fields;  // the visited fields as `name:value;`, in order
};

Visited Visit(std::string_view text) {
  Visited visited{};
  visited.result = ForEachField(text, [&visited](std::string_view name, std::string_view value) {
    visited.fields.append(name).append(":").append(value).append(";");
  });
  return visited;
}

TEST(ForEachFieldTest, VisitsFieldsInOrder) {
  const Visited visited = Visit("b=1,a=,b=x=y");
  EXPECT_EQ(visited.result, FieldListStatus::kValid);
  EXPECT_EQ(visited.fields, "b:1;a:;b:x=y;");
}

TEST(ForEachFieldTest, AcceptsEmptyLists) {
  for (const char* const text : {"", "-"}) {
    EXPECT_EQ(Visit(text).result, FieldListStatus::kValid) << text;
    EXPECT_EQ(Visit(text).fields, "") << text;
  }
}

TEST(ForEachFieldTest, RejectsAPairWithoutANameOrSeparator) {
  for (const char* const text : {"a", "=1", ",", "--"})
    EXPECT_EQ(Visit(text).result, FieldListStatus::kMalformed) << text;
}

TEST(ForEachFieldTest, VisitsTheFieldsBeforeAMalformedOne) {
  const Visited visited = Visit("a=1,");
  EXPECT_EQ(visited.result, FieldListStatus::kMalformed);
  EXPECT_EQ(visited.fields, "a:1;");
}

TEST(ReadNumberTest, ParsesTextsThatAreNumbers) {
  EXPECT_EQ(ReadNumber<std::uint32_t>("4294967295"), 4294967295u);
  EXPECT_EQ(ReadNumber<std::int64_t>("-5"), -5);
  EXPECT_EQ(ReadNumber<std::uint64_t>("fF", 16), 255u);
  EXPECT_EQ(ReadNumber<double>("2.5"), 2.5);
}

TEST(ReadNumberTest, RejectsTextsThatAreNotNumbersOrOutOfRange) {
  for (const char* const text : {"", " 1", "1 ", "+1", "-1", "x", "1x", "4294967296"})
    EXPECT_EQ(ReadNumber<std::uint32_t>(text), std::nullopt) << text;
  for (const char* const text : {"", " 1", "1 ", "x", "1e999"})
    EXPECT_EQ(ReadNumber<double>(text), std::nullopt) << text;
}

}  // namespace
}  // namespace tinspan::platform
