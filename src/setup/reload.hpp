// Applies reloaded settings (SIGHUP) to the settings in effect, without I/O.
//
// Guarantees:
// - Existing classes keep their indices, so that open requests keep the rules of their class.
// - A class that is new, or whose rules changed, is appended. Its name resolves to the new index from then
//   on: the last class of a name wins.
// - A class that the new settings omit keeps its index and name, because clients continue to use the name
//   for a while.
// - Of the other settings only the maximum number of attempts is applied, to requests received from then
//   on. The rest describes the fleet and takes effect only after a restart.
#pragma once

#include <string>
#include <vector>

#include "setup/setup.hpp"

namespace tinspan {

/// The settings that result from a reload, and what differs from the previous ones.
struct ReloadResult {
  NamedSettings site;
  std::vector<std::string> added;    // names of the classes that were appended
  std::vector<std::string> dropped;  // names of the classes that the new settings omit
  bool changed = false;              // a class was appended, or the number of attempts differs
};

/// Merges the reloaded settings `updated` into `current`; see the guarantees above.
ReloadResult MergeReloadedSettings(const NamedSettings& current, const NamedSettings& updated);

/// Stores the index of the last class named `name` in `index`. Returns false and leaves `index` unchanged if
/// there is no such class.
bool FindClass(const Names& classes, std::string_view name, std::size_t& index);

}  // namespace tinspan
