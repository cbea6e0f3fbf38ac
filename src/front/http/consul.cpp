#include "front/http/consul.hpp"

#include <simdjson.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include "setup/setup.hpp"

namespace tinspan::http {
namespace {

using simdjson::dom::element;

constexpr net::Connection::Limits kLimits{.read = 16 << 20, .write = 64 << 10};
constexpr Micros kConnect{2'000'000};
constexpr Micros kFirstBackOff{200'000};
constexpr Micros kMostBackOff{10'000'000};

std::string_view TextAt(const element& in, std::string_view pointer) {
  std::string_view text;
  return in.at_pointer(pointer).get(text) == simdjson::SUCCESS ? text : std::string_view();
}

simdjson::dom::array ListOf(const element& value, const char* field) {
  simdjson::dom::array out;
  if (value.get(out) != simdjson::SUCCESS) throw Malformed{field, "a list"};
  return out;
}

// Passing and warning are up; in maintenance (a check of its own, always critical) it drains; critical is
// gone.
Availability HealthOf(const element& entry) {
  Availability worst = Availability::kUp;
  simdjson::dom::array checks;
  if (entry["Checks"].get(checks) != simdjson::SUCCESS) return worst;
  for (const element check : checks) {
    const std::string_view id = TextAt(check, "/CheckID");
    if (TextAt(check, "/Status") != "critical") continue;
    if (id == "_node_maintenance" || id.starts_with("_service_maintenance:")) return Availability::kDraining;
    worst = Availability::kGone;
  }
  return worst;
}

}  // namespace

ConsulWatch::ConsulWatch(net::EventLoop& loop, const config::Http& config,
                         const config::ConsulService& service, Changed changed)
    : loop_(loop), config_(config), service_(service), changed_(std::move(changed)) {
  Ask(Query::kHealth);
}

ConsulWatch::~ConsulWatch() { loop_.Timers().Cancel(timer_); }

void ConsulWatch::Ask(Query query) {
  query_ = query;
  loop_.Timers().Cancel(timer_);
  // A blocking query may take its wait and up to a sixteenth more; longer than that is silence.
  const Micros limit = kConnect + (query == Query::kHealth ? config_.consul_wait * 17 / 16 : Micros{0});
  timer_ = loop_.Timers().Set(net::Now() + limit, [this](Micros) { Failed("no answer"); });
  if (connection_ && connection_->IsOpen()) return OnOpen(*connection_);
  connection_ = std::make_unique<net::Connection>(loop_, config_.consul, *this, kLimits);
}

void ConsulWatch::OnOpen(net::Connection& connection) {
  std::string path = query_ == Query::kHealth ? "/v1/health/service/" : "/v1/catalog/service/";
  path += service_.name;
  if (query_ == Query::kHealth) {
    const auto seconds = std::max<std::int64_t>(1, config_.consul_wait.count() / 1'000'000);
    path += "?index=" + std::to_string(index_) + "&wait=" + std::to_string(seconds) + "s";
  }
  std::string out = "GET " + path + " HTTP/1.1\r\nHost: " + config_.consul.Text() + "\r\n";
  if (!config_.consul_token.empty()) out += "X-Consul-Token: " + config_.consul_token + "\r\n";
  connection.Write(out + "\r\n");
}

void ConsulWatch::OnBytes(net::Connection& connection) {
  const std::string_view unread = connection.Unread();
  Head head;
  const int status = ReadResponse(unread, head);
  if (status < 0) return;
  std::uint64_t length = 0;
  const auto framing = status == 0 ? ResponseFraming(head, false, length) : std::nullopt;
  if (!framing) return Failed("an answer that cannot be read");
  body_.Start(*framing, length);
  const auto taken = body_.Take(unread.substr(head.length));
  if (!taken) return Failed("an answer that cannot be read");
  if (!body_.IsWhole()) {
    if (*framing == BodyReader::Framing::kLength) connection.Expect(head.length + length);
    return;
  }
  const std::string_view raw = unread.substr(head.length, *taken);
  const std::string body = *framing == BodyReader::Framing::kChunked ? Dechunked(raw) : std::string(raw);
  const bool keep = !HasToken(head.Field("Connection"), "close");
  try {
    if (head.status != 200) throw Malformed{"status", "200, not " + std::to_string(head.status)};
    Answered(head, body);
  } catch (const Malformed& wrong) {
    return Failed(wrong.field + ": expected " + wrong.expected);
  }
  connection.Consume(head.length + *taken);
  if (!keep) {
    connection.Close();
    old_ = std::move(connection_);
  }
  Ask(query_ == Query::kHealth ? Query::kCatalog : Query::kHealth);
}

void ConsulWatch::OnClosed(net::Connection&) { Failed("connection lost"); }

// The list stays as it is; the next query comes later and later.
void ConsulWatch::Failed(const std::string& why) {
  loop_.Timers().Cancel(timer_);
  if (connection_) {
    connection_->Close();
    old_ = std::move(connection_);
  }
  const Micros wait = std::min(kMostBackOff, kFirstBackOff * (std::int64_t{1} << std::min(failures_, 10u)));
  ++failures_;
  spdlog::warn("Consul, service {}: {}; the list is kept, next query in {} ms", service_.name, why,
               wait.count() / 1000);
  timer_ = loop_.Timers().Set(net::Now() + wait, [this](Micros) { Ask(Query::kHealth); });
}

void ConsulWatch::Answered(const Head& head, const std::string& body) {
  simdjson::dom::parser parser;
  element list;
  if (parser.parse(simdjson::padded_string(body)).get(list) != simdjson::SUCCESS)
    throw Malformed{"body", "JSON"};
  if (query_ == Query::kHealth) {
    const std::string_view told = head.Field("X-Consul-Index");
    std::uint64_t index = 0;
    std::from_chars(told.data(), told.data() + told.size(), index);
    health_.clear();
    for (const element entry : ListOf(list, "health")) {
      const std::string name =
          std::string(TextAt(entry, "/Node/Node")) + "/" + std::string(TextAt(entry, "/Service/ID"));
      health_[name] = HealthOf(entry);
    }
    // An index that goes back (a server restored from a snapshot, say) starts over; one of 0 would not block.
    next_index_ = index < index_ ? 0 : std::max<std::uint64_t>(index, 1);
    return;
  }
  catalog_.clear();
  for (const element entry : ListOf(list, "catalog")) {
    Node node;
    node.name = std::string(TextAt(entry, "/Node")) + "/" + std::string(TextAt(entry, "/ServiceID"));
    std::string_view address = TextAt(entry, "/ServiceAddress");
    if (address.empty()) address = TextAt(entry, "/Address");
    std::uint64_t port = 0;
    if (entry["ServicePort"].get(port) != simdjson::SUCCESS) port = 0;
    const auto endpoint = net::Endpoint::Parse(std::string(address) + ":" + std::to_string(port));
    if (!endpoint || port == 0) {
      spdlog::warn("Consul: {} has no address that can be used", node.name);
      continue;
    }
    node.endpoint = *endpoint;
    const std::string_view zone = TextAt(entry, "/ServiceMeta/zone");
    const Names& zones = config_.site.zones;
    const auto place =
        std::find(zones.begin(), zones.end(), zone.empty() ? config_.consul_zone : std::string(zone));
    if (place == zones.end()) {
      spdlog::warn("Consul: {} is in a zone that the settings do not list", node.name);
      continue;
    }
    node.member.id = HashName(node.name);
    node.member.zone = ZoneId{static_cast<std::uint32_t>(place - zones.begin())};
    node.member.kind = KindId{PlaceOf(config_.site.kinds, service_.kind, "kind")};
    std::uint64_t weight = 0;
    if (entry.at_pointer("/ServiceWeights/Passing").get(weight) == simdjson::SUCCESS && weight > 0) {
      node.member.weight = static_cast<double>(weight);
    }
    catalog_[node.name] = std::move(node);
  }
  failures_ = 0;
  index_ = next_index_;
  Merge();
}

// What has changed since it was told last. New after the first list means just started: cold.
void ConsulWatch::Merge() {
  std::vector<Node> changes;
  for (auto& [name, node] : catalog_) {
    const auto health = health_.find(name);
    node.member.availability = health == health_.end() ? Availability::kGone : health->second;
    const auto known = told_.find(name);
    const bool was = known != told_.end() && known->second.member.availability != Availability::kGone;
    if (!was && node.member.availability == Availability::kGone) continue;
    const bool moved = was && !(known->second.endpoint == node.endpoint);
    if (was && !moved) {
      node.member.started = known->second.member.started;
      if (known->second.member.availability == node.member.availability) continue;
    } else if (listed_) {
      node.member.started = net::Now();
    }
    changes.push_back(node);
  }
  for (const auto& [name, node] : told_) {
    if (catalog_.contains(name) || node.member.availability == Availability::kGone) continue;
    Node gone = node;
    gone.member.availability = Availability::kGone;
    changes.push_back(std::move(gone));
  }
  for (const Node& node : changes) told_[node.name] = node;
  if (!changes.empty() || !listed_) changed_(changes);
  listed_ = true;
}

}  // namespace tinspan::http
