// `tinspan serve` and `tinspan check-config`: assembles the parts of an instance and runs them.
#pragma once

#include "cli/command.hpp"

namespace tinspan::cli {

void AddServeOptions(Options& options);
int RunServe(const Values& values, const std::vector<std::string>& arguments);
int RunCheckConfig(const Values& values, const std::vector<std::string>& arguments);

}  // namespace tinspan::cli
