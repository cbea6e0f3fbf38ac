// Whether a request may be attempted, and attempted again.
#pragma once

#include "routing/context.hpp"
#include "routing/request.hpp"
#include "routing/server_table.hpp"

namespace tinspan {

// Bounds retries to a share of the requests: a token bucket that each request fills a little.
class RetryBudget {
 public:
  RetryBudget();

  void OnRequest();
  bool HasToken() const { return tokens_ >= 1; }
  void SpendToken() { tokens_ -= 1; }

 private:
  double tokens_;
};

// The rules of the interface on attempts, apart from which server is best.
class AttemptRules {
 public:
  AttemptRules(const Context& context, const ServerTable& servers) : context_(context), servers_(servers) {}

  // Whether the request may be sent to the server now, given the attempts that it had.
  bool CanAttempt(const Request& request, ServerIndex server) const;

  // Whether a client that is told to come back does no harm: no effect can happen twice.
  static bool CanReject(const Request& request);

  // Two servers answered with an error: what they were asked is at fault, and no third is asked. Guards
  // against clients that ask for what nobody can answer, which would eject one server after the other.
  static bool IsRequestAtFault(const Request& request);

 private:
  // Where the next attempt may go, given what may have been executed already.
  bool EffectAllows(const Request& request, ServerIndex server) const;

  const Context& context_;
  const ServerTable& servers_;
};

}  // namespace tinspan
