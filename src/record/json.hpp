// Records as JSON objects for people and tools: numbers become names, times RFC 3339. docs/design/record.md
// lists the members.
#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

#include "record/book.hpp"

namespace tinspan::record {

std::string_view KindOf(const wire::Record& record);
// Empty if there is no such kind.
bool IsKind(std::string_view name);
nlohmann::ordered_json ToJson(const Book& book, Micros at, const wire::Record& record);
std::string Hex(std::uint64_t value);  // 16 digits

}  // namespace tinspan::record
