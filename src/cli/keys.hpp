// `tinspan keys`: creates keys, and signs links and tokens to test a gateway with.
#pragma once

#include "cli/command.hpp"

namespace tinspan::cli {

void AddKeysNewOptions(Options& options);
void AddKeysSignOptions(Options& options);
int RunKeysNew(const Values& values, const std::vector<std::string>& arguments);
int RunKeysPublic(const Values& values, const std::vector<std::string>& arguments);
int RunKeysLink(const Values& values, const std::vector<std::string>& arguments);
int RunKeysToken(const Values& values, const std::vector<std::string>& arguments);

}  // namespace tinspan::cli
