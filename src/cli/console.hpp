// `tinspan console`: a fleet live, from folders of records or from a running gateway.
#pragma once

#include "cli/command.hpp"

namespace tinspan::cli {

void DescribeConsole(Options& options);
int RunConsole(const Values& values, const std::vector<std::string>& arguments);

}  // namespace tinspan::cli
