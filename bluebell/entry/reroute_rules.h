// Decides whether a request whose attempt at one dispatcher ended is routed
// again or ends. No I/O.

#ifndef BLUEBELL_ENTRY_REROUTE_RULES_H_
#define BLUEBELL_ENTRY_REROUTE_RULES_H_

#include <cstdint>
#include <variant>

#include "bluebell/core/request_outcome.h"
#include "bluebell/core/time.h"

namespace bluebell {

class retry_budget;

struct routing_progress {
  bool idempotent = false;
  instant deadline;
  // How often the request was handed to a dispatcher.
  std::uint32_t routes = 0;
  // True if an attempt at an earlier dispatcher may have run.
  bool unproven = false;

  friend bool operator==(const routing_progress&,
                         const routing_progress&) = default;
};

struct route_again {
  // Sooner if a new snapshot arrives.
  duration delay{0};
  bool unproven = false;

  friend bool operator==(const route_again&, const route_again&) = default;
};

struct deliver_outcome {
  request_outcome outcome;

  friend bool operator==(const deliver_outcome&,
                         const deliver_outcome&) = default;
};

using reroute_decision = std::variant<route_again, deliver_outcome>;

// However much of the deadline is left.
inline constexpr std::uint32_t kMaxRoutes = 8;

reroute_decision AfterOutcome(const routing_progress& progress,
                              request_outcome outcome,
                              instant now,
                              retry_budget& budget);

}  // namespace bluebell

#endif  // BLUEBELL_ENTRY_REROUTE_RULES_H_
