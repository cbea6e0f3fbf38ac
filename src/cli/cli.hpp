// The command line of tinspan, which consists of sub-commands.
#pragma once

namespace tinspan::cli {

/// Runs the command that the arguments name. Returns the exit status: 0 done, 1 failed, 2 invalid usage.
int Main(int argc, char** argv);

}  // namespace tinspan::cli
