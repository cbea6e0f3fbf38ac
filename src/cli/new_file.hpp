// Creates files that are readable by their owner only, and never replaces an existing file.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace tinspan::cli {

/// Creates all files, given as path and content, or none: if one already exists or cannot be written, the
/// files created before it are deleted. Throws std::runtime_error, which names the file.
void WriteNewFiles(const std::vector<std::pair<std::string, std::string>>& files);

}  // namespace tinspan::cli
