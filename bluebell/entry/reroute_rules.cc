#include "bluebell/entry/reroute_rules.h"

#include <algorithm>
#include <utility>

#include "bluebell/core/overloaded.h"
#include "bluebell/dispatch/retry_budget.h"

namespace bluebell {

namespace {

// A refusal by an outdated target is cured by the next snapshot, which arrives
// within a heartbeat.
constexpr milliseconds kFirstDelay{5};
constexpr milliseconds kLongestDelay{80};

duration DelayAfter(std::uint32_t routes) {
  duration delay = kFirstDelay;
  for (std::uint32_t i = 1; i < routes && delay < kLongestDelay; ++i) {
    delay *= 2;
  }
  return std::min<duration>(delay, kLongestDelay);
}

bool MayRoute(const routing_progress& progress, duration delay, instant now) {
  return progress.routes < kMaxRoutes && now + delay < progress.deadline;
}

reroute_decision Deliver(const routing_progress& progress, not_run why) {
  if (progress.unproven) {
    return deliver_outcome{
        unknown{unknown_reason::kDispatcherLost,
                "an earlier attempt may have run; then: " + why.detail}};
  }
  return deliver_outcome{std::move(why)};
}

// Waiting for an owner costs no endpoint any work, so it takes nothing from
// the budget: a planned move refuses many requests at once.
bool IsFree(not_run_reason reason) {
  return reason == not_run_reason::kNoOwner;
}

bool IsCuredByRouting(not_run_reason reason) {
  switch (reason) {
    case not_run_reason::kNoOwner:
    case not_run_reason::kEndpointUnreachable:
    case not_run_reason::kRefusedByEndpoint:
    case not_run_reason::kWithdrawn:
      return true;
    default:
      return false;
  }
}

}  // namespace

reroute_decision AfterOutcome(const routing_progress& progress,
                              request_outcome outcome,
                              instant now,
                              retry_budget& budget) {
  const duration delay = DelayAfter(progress.routes);
  return std::visit(
      overloaded{[&](answer& whole) -> reroute_decision {
                   return deliver_outcome{std::move(whole)};
                 },
                 [&](not_run& why) -> reroute_decision {
                   if (IsCuredByRouting(why.reason) &&
                       MayRoute(progress, delay, now) &&
                       (IsFree(why.reason) || budget.TryRetry(now))) {
                     return route_again{delay, progress.unproven};
                   }
                   return Deliver(progress, std::move(why));
                 },
                 [&](unknown& why) -> reroute_decision {
                   if (progress.idempotent &&
                       why.reason == unknown_reason::kDispatcherLost &&
                       MayRoute(progress, delay, now) && budget.TryRetry(now)) {
                     return route_again{delay, true};
                   }
                   return deliver_outcome{std::move(why)};
                 }},
      outcome);
}

}  // namespace bluebell
