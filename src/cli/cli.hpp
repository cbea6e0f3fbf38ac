// The command line: sub-commands only.
#pragma once

namespace tinspan::cli {

int Main(int argc, char** argv);

}  // namespace tinspan::cli
