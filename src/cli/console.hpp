// `tinspan console`: shows a fleet live, from folders of records or from running gateways.
#pragma once

#include "cli/command.hpp"

namespace tinspan::cli {

void AddConsoleOptions(Options& options);
int RunConsole(const Values& values, const std::vector<std::string>& arguments);

}  // namespace tinspan::cli
