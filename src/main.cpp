#include "cli/cli.hpp"

int main(int argc, char** argv) { return tinspan::cli::Main(argc, argv); }
