// `tinspan report`: builds the incident report from saved records, offline.
#pragma once

#include "cli/command.hpp"

namespace tinspan::cli {

void AddReportOptions(Options& options);
int RunReport(const Values& values, const std::vector<std::string>& arguments);

}  // namespace tinspan::cli
