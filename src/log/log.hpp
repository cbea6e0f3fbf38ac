// The program's log. Each line has a stable event name, a sentence for people and typed fields for machines.
// The text format is `[time] [level] sentence`. The JSON format is one object per line with `time` (RFC 3339,
// UTC), `level`, `event`, `message` and the fields. docs/logging.md lists the events. Tokens, keys and
// queries must never be logged.
#pragma once

#include <spdlog/spdlog.h>

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>

namespace tinspan::log {

/// The format of the log lines.
enum class Format { kText, kJson };

/// Configures the log; must be called once, before the first line. `level` is the name of an spdlog level.
/// Returns false if it is unknown.
bool Start(Format format, const std::string& level);

/// A named value of a log line. It refers to the name, and to a text value, without a copy.
class Field {
 public:
  template <class Value>
  Field(std::string_view name, const Value& value) : name_(name) {
    if constexpr (std::is_same_v<Value, bool>) {
      value_ = value;
    } else if constexpr (std::is_floating_point_v<Value>) {
      value_ = static_cast<double>(value);
    } else if constexpr (std::is_integral_v<Value> && std::is_signed_v<Value>) {
      value_ = static_cast<std::int64_t>(value);
    } else if constexpr (std::is_integral_v<Value>) {
      value_ = static_cast<std::uint64_t>(value);
    } else {
      value_ = std::string_view(value);
    }
  }
  std::string_view Name() const { return name_; }
  const auto& Value() const { return value_; }

 private:
  std::string_view name_;
  std::variant<std::int64_t, std::uint64_t, double, bool, std::string_view> value_;
};
using Fields = std::initializer_list<Field>;

/// Whether lines of this level are written.
bool IsEnabled(spdlog::level::level_enum level);
/// Writes a line with a formatted sentence. Use At, which skips the formatting if the level is disabled.
void Write(spdlog::level::level_enum level, std::string_view event, Fields fields, std::string_view sentence);

/// Writes a line if its level is enabled. `event` is a stable dotted name, such as "consul.query_failed".
template <class... Args>
void At(spdlog::level::level_enum level, std::string_view event, Fields fields,
        spdlog::format_string_t<Args...> sentence, Args&&... args) {
  if (IsEnabled(level)) Write(level, event, fields, fmt::format(sentence, std::forward<Args>(args)...));
}
template <class... Args>
void Debug(std::string_view event, Fields fields, spdlog::format_string_t<Args...> sentence, Args&&... args) {
  At(spdlog::level::debug, event, fields, sentence, std::forward<Args>(args)...);
}
template <class... Args>
void Info(std::string_view event, Fields fields, spdlog::format_string_t<Args...> sentence, Args&&... args) {
  At(spdlog::level::info, event, fields, sentence, std::forward<Args>(args)...);
}
template <class... Args>
void Warn(std::string_view event, Fields fields, spdlog::format_string_t<Args...> sentence, Args&&... args) {
  At(spdlog::level::warn, event, fields, sentence, std::forward<Args>(args)...);
}
template <class... Args>
void Error(std::string_view event, Fields fields, spdlog::format_string_t<Args...> sentence, Args&&... args) {
  At(spdlog::level::err, event, fields, sentence, std::forward<Args>(args)...);
}

}  // namespace tinspan::log
