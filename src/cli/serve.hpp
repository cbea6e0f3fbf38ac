// The program at work: the parts put together and run.
#pragma once

#include "cli/command.hpp"

namespace tinspan::cli {

void DescribeServe(Options& options);
int RunServe(const Values& values, const std::vector<std::string>& arguments);
int RunCheckConfig(const Values& values, const std::vector<std::string>& arguments);

}  // namespace tinspan::cli
