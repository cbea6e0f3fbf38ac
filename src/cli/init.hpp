// `tinspan init`: a gateway that can be started, in a folder of its own.
#pragma once

#include "cli/command.hpp"

namespace tinspan::cli {

void DescribeInit(Options& options);
int RunInit(const Values& values, const std::vector<std::string>& arguments);

}  // namespace tinspan::cli
