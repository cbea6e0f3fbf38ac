// Commands that ask a running doorman through its operators' door: `members`, `leases`.
#pragma once

#include "cli/command.hpp"

namespace tinspan::cli {

void DescribeDoor(Options& options);
int RunMembers(const Values& values, const std::vector<std::string>& arguments);
int RunLeases(const Values& values, const std::vector<std::string>& arguments);

}  // namespace tinspan::cli
