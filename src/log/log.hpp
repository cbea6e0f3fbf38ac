// The program's log: each line has a stable event name, a sentence for people and typed fields for machines.
// As text a line is `[time] [level] sentence`; as JSON it is one object a line, `time` (RFC 3339, UTC),
// `level`, `event`, `message`, then the fields. docs/logging.md lists the events. Tokens, keys and queries
// never go in.
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

enum class Format { kText, kJson };

// Once, before the first line. `level` is one of spdlog's names; false: it is none.
bool Start(Format format, const std::string& level);

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

bool Wants(spdlog::level::level_enum level);
void Write(spdlog::level::level_enum level, std::string_view event, Fields fields, std::string_view sentence);

// `event` is a dotted name that never changes its meaning, such as "consul.query_failed".
template <class... Args>
void At(spdlog::level::level_enum level, std::string_view event, Fields fields,
        spdlog::format_string_t<Args...> sentence, Args&&... args) {
  if (Wants(level)) Write(level, event, fields, fmt::format(sentence, std::forward<Args>(args)...));
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
