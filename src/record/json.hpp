// Converts records to JSON objects for people and tools: numbers are replaced by names, times are in RFC
// 3339. docs/design/record.md lists the members.
#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

#include "record/dictionary.hpp"

namespace tinspan::record {

// The value of "kind" in JSON; "unknown" for a record of a later format.
std::string_view KindOf(const wire::Record& record);
// Whether KindOf returns this name for some record.
bool IsKind(std::string_view name);
// `at`: the record's Unix time, from RecordSink::OnRecord. `dictionary` must have applied the
// incarnation's records up to this one.
nlohmann::ordered_json ToJson(const Dictionary& dictionary, Micros at, const wire::Record& record);
std::string Hex(std::uint64_t value);  // 16 hex digits

}  // namespace tinspan::record
