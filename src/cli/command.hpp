// A sub-command of the program: its options, what stands behind them, help and examples. The table of all of
// them is in cli.cpp.
#pragma once

#include <boost/program_options.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace tinspan::cli {

using Options = boost::program_options::options_description;
using Values = boost::program_options::variables_map;

// A command line that makes no sense: the message goes to standard error, and the program ends with 2.
struct Usage {
  std::string message;
};

struct Command {
  const char* name;       // one word, or two as in "keys new"
  const char* arguments;  // as shown in its usage line; empty: it takes none
  const char* summary;    // one line
  const char* examples;   // whole lines, each a command that works
  std::size_t least_arguments;
  std::size_t most_arguments;
  void (*describe)(Options& options);
  // The exit status: 0 done, 1 it could not be done. Throws Usage, or std::exception with a message.
  int (*run)(const Values& values, const std::vector<std::string>& arguments);
};

// Options that more than one command takes.
void DescribeLog(Options& options);
void DescribeFile(Options& options);
void StartLog(const Values& values);  // throws Usage

}  // namespace tinspan::cli
