#include "front/http/upstream_request.hpp"

#include <utility>

namespace tinspan::http {
namespace {

constexpr std::int64_t kMicrosPerSecond = 1'000'000;

// The value of Cache-Control (RFC 9111, section 5.2.1); empty: the field is not sent.
std::string CacheControl(const SendAttempt& action, bool is_fill) {
  std::string control = is_fill ? "" : "only-if-cached";
  if (action.max_age <= Micros{0}) return control;
  if (!control.empty()) control += ", ";
  return control + "max-age=" + std::to_string(action.max_age.count() / kMicrosPerSecond);
}

// The value of Tinspan-Fill: what the attempt orders beyond Cache-Control.
std::string FillOrder(const SendAttempt& action, std::string_view source) {
  std::string order = "keep=" + std::to_string(action.cache_rank);
  if (!source.empty()) order.append("; source=").append(source);
  for (const auto& [is_set, parameter] : {std::pair{action.join_fill, "join"},
                                          {action.source_cached_only, "peek"},
                                          {action.bypass_parent, "pass"},
                                          {action.revalidate, "renew"}}) {
    if (is_set) order.append("; ").append(parameter);
  }
  return order;
}

void AppendField(std::string& head, std::string_view name, std::string_view value) {
  head.append(name).append(": ").append(value).append("\r\n");
}

}  // namespace

std::string EncodeRequestHead(const PendingRequest& request, const SendAttempt& action,
                              const UpstreamRequestOptions& options) {
  const bool is_write = request.method == "POST";
  const std::string target = request.uses_signed_link
                                 ? options.signer.Link(request.uri, options.signed_at, options.signed_until)
                                 : request.uri;
  std::string head = request.method + " " + target + " HTTP/1.1\r\n";
  AppendField(head, "Host", options.authority);
  AppendField(head, "Via", "1.1 " + std::string(options.gateway_name));
  if (!request.uses_signed_link) {
    AppendField(head, "Authorization",
                "Bearer " + options.signer.Token(options.signed_at, options.signed_until));
  }
  const std::string control = CacheControl(action, !options.fill_source.empty());
  if (!is_write && !control.empty()) AppendField(head, "Cache-Control", control);
  AppendField(head, "Tinspan-Fill", FillOrder(action, options.fill_source));
  head.append(request.header_fields);
  if (is_write) AppendField(head, "Content-Length", std::to_string(request.body.size()));
  return head;
}

}  // namespace tinspan::http
