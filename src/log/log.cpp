#include "log/log.hpp"

#include <chrono>
#include <nlohmann/json.hpp>

#include "net/clock.hpp"
#include "setup/time_text.hpp"

namespace tinspan::log {
namespace {

Format g_format = Format::kText;  // set once by Start

std::string TimeNow() { return FormatTime(net::UnixNow().SinceEpoch()); }

}  // namespace

bool Start(Format format, const std::string& level) {
  const auto wanted = spdlog::level::from_str(level);
  // from_str returns `off` for unknown names.
  if (wanted == spdlog::level::off && level != "off") return false;
  g_format = format;
  spdlog::set_level(wanted);
  spdlog::flush_on(spdlog::level::info);
  if (format == Format::kJson) spdlog::set_pattern("%v");
  return true;
}

bool IsEnabled(spdlog::level::level_enum level) { return spdlog::should_log(level); }

void Write(spdlog::level::level_enum level, std::string_view event, Fields fields,
           std::string_view sentence) {
  if (g_format == Format::kText) return spdlog::log(level, sentence);
  nlohmann::ordered_json line;
  line["time"] = TimeNow();
  line["level"] = std::string_view(spdlog::level::to_string_view(level).data());
  line["event"] = event;
  line["message"] = sentence;
  for (const Field& field : fields) {
    std::visit([&](const auto& value) { line[std::string(field.Name())] = value; }, field.Value());
  }
  // Text from a peer may be invalid UTF-8, which is replaced so that the line stays valid JSON.
  spdlog::log(level, "{}", line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace));
}

}  // namespace tinspan::log
