// Retuning on SIGHUP, without I/O: the classes of a newly told file against those in force.
//
// Promises: the classes in force keep their places, so that requests that are open keep their class's
// rules; a class that is added, or told again with other rules, takes a new place after them, and its name
// is looked up there from now on (the last place of a name wins). A class that is no longer told keeps its
// place and name: clients go on naming it for a while. Of the rest of the settings only the number of
// attempts is taken (for requests that come from now on); everything else holds as it was, since it
// describes the fleet and would need a restart.
#pragma once

#include <string>
#include <vector>

#include "setup/setup.hpp"

namespace tinspan {

struct Retuned {
  Site site;
  std::vector<std::string> added;    // names that took a new place
  std::vector<std::string> dropped;  // names no longer told
  bool changed = false;              // a class added or changed, or other attempts
};

Retuned Retune(const Site& now, const Site& told);

// The place of the class named `name`, the last one of that name; false where there is none.
bool FindClass(const Names& classes, std::string_view name, std::size_t& place);

}  // namespace tinspan
