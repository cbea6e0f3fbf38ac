#include "setup/retune.hpp"

#include <algorithm>

namespace tinspan {

bool FindClass(const Names& classes, std::string_view name, std::size_t& place) {
  for (std::size_t i = classes.size(); i-- > 0;) {
    if (classes[i] == name) {
      place = i;
      return true;
    }
  }
  return false;
}

Retuned Retune(const Site& now, const Site& told) {
  Retuned out;
  out.site = now;
  std::vector<ClassSettings>& classes = out.site.settings.classes;
  for (std::size_t i = 0; i < told.classes.size(); ++i) {
    std::size_t place = 0;
    if (FindClass(now.classes, told.classes[i], place) && classes[place] == told.settings.classes[i])
      continue;
    out.site.classes.push_back(told.classes[i]);
    classes.push_back(told.settings.classes[i]);
    out.added.push_back(told.classes[i]);
  }
  for (const std::string& name : now.classes) {
    const bool told_again = std::find(told.classes.begin(), told.classes.end(), name) != told.classes.end();
    const bool listed = std::find(out.dropped.begin(), out.dropped.end(), name) != out.dropped.end();
    if (!told_again && !listed) out.dropped.push_back(name);
  }
  // A name no longer told changes nothing: it keeps its place.
  out.changed = !out.added.empty() || out.site.settings.max_attempts != told.settings.max_attempts;
  out.site.settings.max_attempts = told.settings.max_attempts;
  return out;
}

}  // namespace tinspan
