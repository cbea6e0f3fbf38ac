// From the settings as an operator tells them, on the simulator's wire or in a configuration, to the
// module's Settings: one mapping for the adapter and the real program.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "setup/text.hpp"
#include "tinspan/router.hpp"

namespace tinspan {

// The settings as told, by path: nested names joined by dots, lists of plain values by commas, lists of
// objects by their place and a `.count`.
class Setup {
 public:
  // Adds one value; both texts must outlive the object.
  void Add(std::string_view path, std::string_view value) { values_[path] = value; }
  std::string_view Text(const std::string& path) const {
    const auto found = values_.find(path);
    return found == values_.end() ? std::string_view{} : found->second;
  }
  std::string_view Need(const std::string& path) const {
    const auto found = values_.find(path);
    if (found == values_.end()) throw Malformed{path, "to be told"};
    return found->second;
  }
  double Number(const std::string& path) const {
    return IsAbsent(Text(path)) ? 0.0 : ParseNumber<double>(Text(path), path);
  }
  std::uint32_t Whole(const std::string& path) const {
    return IsAbsent(Text(path)) ? 0 : ParseNumber<std::uint32_t>(Text(path), path);
  }
  Micros Millis(const std::string& path) const {
    return IsAbsent(Text(path)) ? Micros{0} : ParseMillis(Text(path), path);
  }
  bool Bool(const std::string& path) const {
    return !IsAbsent(Text(path)) && Choose<bool>(Text(path), path, {{"true", true}, {"false", false}});
  }
  std::vector<std::string_view> List(const std::string& path) const {
    return IsAbsent(Text(path)) ? std::vector<std::string_view>{} : Split(Text(path), ',');
  }
  template <class Value>
  Value Word(const std::string& path, Value absent,
             std::initializer_list<std::pair<std::string_view, Value>> words) const {
    return IsAbsent(Text(path)) ? absent : Choose<Value>(Text(path), path, words);
  }

 private:
  std::map<std::string_view, std::string_view, std::less<>> values_;
};

using Names = std::vector<std::string>;

// The place of a name in its list; throws Malformed naming the field.
std::uint32_t PlaceOf(const Names& names, std::string_view name, std::string_view field);

struct Site {
  Settings settings;
  Names classes;
  Names zones;
  Names kinds;
};

// Throws Malformed naming the path of what is missing or wrong.
Site ReadSite(const Setup& setup);

// A load report of `name:value` pairs set apart by `mark`; unknown names are passed over.
LoadReport ReadLoad(std::string_view text, char mark);

}  // namespace tinspan
