// `tinspan init`: creates a folder with all files that a gateway needs to start.
#pragma once

#include "cli/command.hpp"

namespace tinspan::cli {

void AddInitOptions(Options& options);
int RunInit(const Values& values, const std::vector<std::string>& arguments);

}  // namespace tinspan::cli
