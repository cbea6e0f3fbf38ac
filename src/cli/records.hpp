// `tinspan records`: what flight recorders wrote, listed, printed and checked.
#pragma once

#include <optional>

#include "cli/command.hpp"
#include "record/reader.hpp"

namespace tinspan::cli {

void DescribeRecordsCat(Options& options);
int RunRecordsList(const Values& values, const std::vector<std::string>& arguments);
int RunRecordsCat(const Values& values, const std::vector<std::string>& arguments);
int RunRecordsVerify(const Values& values, const std::vector<std::string>& arguments);

// All that is in the folders now, and how many bytes that was. Throws std::runtime_error where that is
// nothing.
std::uint64_t ReadAll(const std::vector<std::string>& paths, record::Sink& sink);
// A time given as an option, or nothing where it is not. Throws Usage.
std::optional<Micros> TimeOption(const Values& values, const char* option);

}  // namespace tinspan::cli
