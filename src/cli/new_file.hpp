// Writing files that must not replace any, readable by their owner alone.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace tinspan::cli {

// All of them or none: where one exists already or cannot be written, those made before it are taken away
// again. Throws std::runtime_error naming the file.
void WriteNewFiles(const std::vector<std::pair<std::string, std::string>>& files);

}  // namespace tinspan::cli
