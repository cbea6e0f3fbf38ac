// `tinspan keys`: making keys, and signing links and tokens to try a gateway with.
#pragma once

#include "cli/command.hpp"

namespace tinspan::cli {

void DescribeKeysNew(Options& options);
void DescribeKeysSign(Options& options);
int RunKeysNew(const Values& values, const std::vector<std::string>& arguments);
int RunKeysPublic(const Values& values, const std::vector<std::string>& arguments);
int RunKeysLink(const Values& values, const std::vector<std::string>& arguments);
int RunKeysToken(const Values& values, const std::vector<std::string>& arguments);

}  // namespace tinspan::cli
