// Commands that query a running instance through its admin listener: `members`, `leases`.
#pragma once

#include "cli/command.hpp"

namespace tinspan::cli {

void AddAdminOptions(Options& options);
int RunMembers(const Values& values, const std::vector<std::string>& arguments);
int RunLeases(const Values& values, const std::vector<std::string>& arguments);

}  // namespace tinspan::cli
