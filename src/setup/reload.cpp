#include "setup/reload.hpp"

#include <algorithm>

namespace tinspan {

bool FindClass(const Names& classes, std::string_view name, std::size_t& index) {
  for (std::size_t i = classes.size(); i-- > 0;) {
    if (classes[i] == name) {
      index = i;
      return true;
    }
  }
  return false;
}

ReloadResult MergeReloadedSettings(const NamedSettings& current, const NamedSettings& updated) {
  ReloadResult result;
  result.site = current;
  std::vector<ClassSettings>& classes = result.site.settings.classes;
  for (std::size_t i = 0; i < updated.classes.size(); ++i) {
    std::size_t index = 0;
    if (FindClass(current.classes, updated.classes[i], index) &&
        classes[index] == updated.settings.classes[i])
      continue;
    result.site.classes.push_back(updated.classes[i]);
    classes.push_back(updated.settings.classes[i]);
    result.added.push_back(updated.classes[i]);
  }
  for (const std::string& name : current.classes) {
    const bool is_in_update =
        std::find(updated.classes.begin(), updated.classes.end(), name) != updated.classes.end();
    const bool is_already_listed =
        std::find(result.dropped.begin(), result.dropped.end(), name) != result.dropped.end();
    if (!is_in_update && !is_already_listed) result.dropped.push_back(name);
  }
  // A class that the new settings omit keeps its index, so it is not counted as a change.
  result.changed =
      !result.added.empty() || result.site.settings.max_attempts != updated.settings.max_attempts;
  result.site.settings.max_attempts = updated.settings.max_attempts;
  return result;
}

}  // namespace tinspan
