// Decides whether a request may have an attempt or a retry.
#pragma once

#include <optional>

#include "routing/context.hpp"
#include "routing/request.hpp"
#include "routing/server_table.hpp"

namespace tinspan {

// Limits retries to a share of the requests: a token bucket to which each request adds a part of a token.
class RetryBudget {
 public:
  RetryBudget();

  void OnRequest();
  bool HasToken() const { return tokens_ >= 1; }
  void SpendToken() { tokens_ -= 1; }

 private:
  double tokens_;
};

// The rules of the interface for attempts. The choice of the best server is the Dispatcher's.
class AttemptRules {
 public:
  AttemptRules(const Context& context, const ServerTable& servers) : context_(context), servers_(servers) {}

  // Whether the request may be sent to the server now, given its previous attempts.
  bool CanAttempt(const Request& request, ServerIndex server) const;

  // Whether the client can safely retry the request: it cannot be executed twice with effect.
  static bool CanReject(const Request& request);

  // Whether two servers returned an error. Then the request itself is taken as the cause and not sent to a
  // third server. Otherwise clients with requests that no server can serve would get one server after another
  // ejected.
  static bool IsRequestAtFault(const Request& request);

 private:
  // When the request may first have been executed, by this try or an earlier one of the client; empty: it was
  // not. For a repeat, a first try at another instance is assumed as early as it can have been: its client
  // decides on the first attempt of a try, and does so within the window.
  static std::optional<Micros> FirstExecutedAt(const Request& request);
  // Whether the effect of the request permits an attempt at the server, given what may have been executed.
  bool IsAttemptSafe(const Request& request, ServerIndex server) const;

  const Context& context_;
  const ServerTable& servers_;
};

}  // namespace tinspan
