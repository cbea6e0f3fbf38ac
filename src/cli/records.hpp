// The commands of `tinspan records`: list, print and check the segments of flight recorders.
#pragma once

#include <optional>

#include "cli/command.hpp"
#include "record/reader.hpp"

namespace tinspan::cli {

// Declares the options of `records cat`.
void AddRecordsCatOptions(Options& options);
// The commands `records ls`, `records cat` and `records verify`. They return the exit status: cat and verify
// 1 if something could not be read.
int RunRecordsList(const Values& values, const std::vector<std::string>& arguments);
int RunRecordsCat(const Values& values, const std::vector<std::string>& arguments);
int RunRecordsVerify(const Values& values, const std::vector<std::string>& arguments);

// Passes all records that are in the folders now to `sink` and returns the number of bytes read. Throws
// std::runtime_error if there are no segments.
std::uint64_t ReadRecords(const std::vector<std::string>& paths, record::RecordSink& sink);
// The value of a time option; nothing if it is not given. Throws UsageError if it is not a time.
std::optional<Micros> TimeOption(const Values& values, const char* option);

}  // namespace tinspan::cli
