// A sub-command of the program: its options, implementation, help and examples. The table of all commands is
// in cli.cpp.
#pragma once

#include <boost/program_options.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace tinspan::cli {

using Options = boost::program_options::options_description;
using Values = boost::program_options::variables_map;

/// Thrown for an invalid command line. Main writes the message to standard error and returns 2.
struct UsageError {
  std::string message;
};

struct Command {
  const char* name;       // one word, or two as in "keys new"
  const char* arguments;  // as in its usage line; empty if it takes none
  const char* summary;    // one line
  const char* examples;   // one complete command per line, each ending with a line feed
  std::size_t min_arguments;
  std::size_t max_arguments;
  void (*add_options)(Options& options);
  // Returns the exit status: 0 done, 1 failed. Throws UsageError, or an exception derived from
  // std::exception.
  int (*run)(const Values& values, const std::vector<std::string>& arguments);
};

/// Options that several commands share.
void AddLogOptions(Options& options);
void AddFileOptions(Options& options);
/// Starts the log as the options of AddLogOptions say. Throws UsageError if one of them is invalid.
void StartLog(const Values& values);

}  // namespace tinspan::cli
