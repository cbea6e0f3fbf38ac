// Converts settings from text, as the simulator sends them or a configuration file holds them, to the
// module's Settings. The simulator's adapter and the proxy share this mapping.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "setup/text.hpp"
#include "tinspan/router.hpp"

namespace tinspan {

/// Settings as text values by path. A path joins nested names with dots. A list of scalars is one value
/// joined with commas. The objects of a list have their index in the path, and the path with `.count` holds
/// their number. A value that is empty or "-" counts as absent. The accessors throw Malformed, which names
/// the path, if a value has the wrong format.
class SettingsMap {
 public:
  /// Adds one value. Both views must remain valid as long as this object.
  void Add(std::string_view path, std::string_view value) { values_[path] = value; }
  /// Returns the value, or an empty view if the path is missing.
  std::string_view Text(const std::string& path) const {
    const auto entry = values_.find(path);
    return entry == values_.end() ? std::string_view{} : entry->second;
  }
  /// Returns the value; throws Malformed if the path is missing.
  std::string_view Require(const std::string& path) const {
    const auto entry = values_.find(path);
    if (entry == values_.end()) throw Malformed{path, "to be told"};
    return entry->second;
  }
  /// Returns 0 if the value is absent, as do Uint32 and Millis.
  double Number(const std::string& path) const {
    return IsAbsent(Text(path)) ? 0.0 : ParseNumber<double>(Text(path), path);
  }
  std::uint32_t Uint32(const std::string& path) const {
    return IsAbsent(Text(path)) ? 0 : ParseNumber<std::uint32_t>(Text(path), path);
  }
  Micros Millis(const std::string& path) const {
    return IsAbsent(Text(path)) ? Micros{0} : ParseMillis(Text(path), path);
  }
  /// Returns false if the value is absent.
  bool Bool(const std::string& path) const {
    return !IsAbsent(Text(path)) && ParseEnum<bool>(Text(path), path, {{"true", true}, {"false", false}});
  }
  /// Returns an empty list if the value is absent.
  std::vector<std::string_view> List(const std::string& path) const {
    return IsAbsent(Text(path)) ? std::vector<std::string_view>{} : Split(Text(path), ',');
  }
  /// Returns the value that `words` assigns to the text, or `fallback` if the value is absent.
  template <class Value>
  Value Enum(const std::string& path, Value fallback,
             std::initializer_list<std::pair<std::string_view, Value>> words) const {
    return IsAbsent(Text(path)) ? fallback : ParseEnum<Value>(Text(path), path, words);
  }

 private:
  std::map<std::string_view, std::string_view, std::less<>> values_;
};

using Names = std::vector<std::string>;

/// Returns the index of `name` in `names`; throws Malformed with `field` if it is not there.
std::uint32_t IndexOf(const Names& names, std::string_view name, std::string_view field);

/// The module's settings and the names of the ids in them: a class, zone or kind id is an index into its
/// list.
struct NamedSettings {
  Settings settings;
  Names classes;
  Names zones;
  Names kinds;
};

/// Throws Malformed, which names the path, if a value is missing or invalid.
NamedSettings ReadSettings(const SettingsMap& input);

/// Parses a load report of `name:value` pairs separated by `separator`. Unknown names are ignored. Throws
/// Malformed if a pair has no colon or its value is not a number.
LoadReport ParseLoadReport(std::string_view text, char separator);

}  // namespace tinspan
