// `tinspan records`: what flight recorders wrote, listed, printed and checked.
#pragma once

#include <optional>

#include "cli/command.hpp"
#include "tinspan/router.hpp"

namespace tinspan::cli {

void DescribeRecordsCat(Options& options);
int RunRecordsList(const Values& values, const std::vector<std::string>& arguments);
int RunRecordsCat(const Values& values, const std::vector<std::string>& arguments);
int RunRecordsVerify(const Values& values, const std::vector<std::string>& arguments);

// A time given as an option, or nothing where it is not. Throws Usage.
std::optional<Micros> TimeOption(const Values& values, const char* option);

}  // namespace tinspan::cli
