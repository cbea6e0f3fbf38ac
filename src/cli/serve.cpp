#include "cli/serve.hpp"

#include <spdlog/spdlog.h>

#include "front/http/http_front.hpp"
#include "front/platform/platform_front.hpp"
#include "front/runner.hpp"

namespace tinspan::cli {
namespace {

core::GatewayOptions Options(const config::Common& config) { return {.slack = config.slack}; }

// SIGKILL comes no earlier than the longest deadline (3 s at least) plus 0.7 s after SIGTERM.
front::StopTimes Stop(const config::Common& config) {
  front::StopTimes times;
  times.most = std::max(config.longest, Micros{3'000'000}) + Micros{600'000};
  return times;
}

template <class Front, class Config>
void Serve(const Config& config) {
  net::EventLoop loop;
  std::vector<core::Event> events;
  core::Gateway gateway(config.site.settings, config.seed, net::Now(), Options(config));
  Front front(loop, config, gateway, events);
  // The port as it is, since 0 asks for any free one.
  spdlog::info("{} serving at {}", config.name, net::Endpoint{config.listen.address, front.Port()}.Text());
  front::Run(loop, gateway, front, events, Stop(config));
}

}  // namespace

void ServePlatform(const config::Platform& config) { Serve<platform::PlatformFront>(config); }
void ServeHttp(const config::Http& config) { Serve<http::HttpFront>(config); }

}  // namespace tinspan::cli
