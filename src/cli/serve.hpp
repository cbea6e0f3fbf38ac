// The program at work: the parts put together and run.
#pragma once

#include "config/config.hpp"

namespace tinspan::cli {

void ServePlatform(const config::Platform& config);
void ServeHttp(const config::Http& config);

}  // namespace tinspan::cli
