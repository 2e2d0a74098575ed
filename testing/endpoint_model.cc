#include "testing/endpoint_model.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace bluebell {

std::string_view ToString(refusal value) {
  switch (value) {
    case refusal::kNotOwner:
      return "not_owner";
    case refusal::kWrongInstance:
      return "wrong_instance";
    case refusal::kDraining:
      return "draining";
    case refusal::kOverloaded:
      return "overloaded";
    case refusal::kExpired:
      return "expired";
    case refusal::kStaleDispatcher:
      return "stale_dispatcher";
  }
  return "invalid";
}

endpoint_model::endpoint_model(endpoint_traits traits,
                               std::int64_t started_at_ns)
    : traits_(std::move(traits)), started_at_ns_(started_at_ns) {}

bool endpoint_model::IsAddressee(const endpoint_instance& to) const {
  return to.endpoint == traits_.self.endpoint &&
         (to.run == traits_.self.run || to.run == incarnation(0));
}

lease_reply endpoint_model::Handle(const lease_request& request,
                                   std::int64_t clock_ns) {
  if (!IsAddressee(request.to)) {
    lease_reply reply = Report(clock_ns);
    reply.refused = request.granted;
    return reply;
  }
  std::erase_if(leases_, [clock_ns](const held_lease& held) {
    return held.expires_at_ns <= clock_ns;
  });
  // Revocations come first, so that a request can replace leases at once.
  for (const lease& revoked : request.revoked) {
    GiveUp(revoked);
  }
  std::vector<lease> refused;
  for (const lease& granted : request.granted) {
    if (!Grant(granted, request.expires_at_ns, clock_ns)) {
      refused.push_back(granted);
    }
  }
  lease_reply reply = Report(clock_ns);
  reply.refused = std::move(refused);
  for (const lease& revoked : request.revoked) {
    if (IsUnused(revoked)) {
      reply.revoked.push_back(revoked);
    }
  }
  return reply;
}

bool endpoint_model::Grant(const lease& wanted,
                           std::int64_t expires_at_ns,
                           std::int64_t clock_ns) {
  if (wanted.at < fence_.LowestAllowed(wanted.range)) {
    return false;
  }
  fence_.Raise(wanted.range, wanted.at);
  TrimBelowFence(wanted);
  if (expires_at_ns <= clock_ns) {
    return true;
  }
  const auto same =
      std::find_if(leases_.begin(), leases_.end(),
                   [&](const held_lease& held) { return held.what == wanted; });
  if (same == leases_.end()) {
    leases_.push_back({wanted, expires_at_ns});
  } else {
    // A renewal that was delayed must not shorten a newer one.
    same->expires_at_ns = std::max(same->expires_at_ns, expires_at_ns);
  }
  return true;
}

void endpoint_model::GiveUp(const lease& revoked) {
  fence_.Raise(revoked.range, epoch(revoked.at.value() + 1));
  std::erase_if(leases_, [&](const held_lease& held) {
    return held.what.at <= revoked.at &&
           held.what.range.Overlaps(revoked.range);
  });
}

bool endpoint_model::IsUnused(const lease& revoked) const {
  return std::none_of(running_.begin(), running_.end(),
                      [&](const auto& running) {
                        const used_lease& used = running.second;
                        return used && used->at <= revoked.at &&
                               used->range.Overlaps(revoked.range);
                      });
}

// A lease of a lower epoch keeps the parts that `granted` doesn't cover.
void endpoint_model::TrimBelowFence(const lease& granted) {
  std::vector<held_lease> kept;
  for (const held_lease& held : leases_) {
    const slice_range& range = held.what.range;
    if (held.what.at >= granted.at || !range.Overlaps(granted.range)) {
      kept.push_back(held);
      continue;
    }
    if (range.first < granted.range.first) {
      kept.push_back({{{range.first, granted.range.first - 1}, held.what.at},
                      held.expires_at_ns});
    }
    if (range.last > granted.range.last) {
      kept.push_back({{{granted.range.last + 1, range.last}, held.what.at},
                      held.expires_at_ns});
    }
  }
  leases_ = std::move(kept);
}

bool endpoint_model::Holds(key_hash where, std::int64_t clock_ns) const {
  return std::any_of(
      leases_.begin(), leases_.end(), [&](const held_lease& held) {
        return clock_ns < held.expires_at_ns && held.what.range.Contains(where);
      });
}

std::vector<lease> endpoint_model::LeasesAt(std::int64_t clock_ns) const {
  std::vector<lease> leases;
  for (const held_lease& held : leases_) {
    if (clock_ns < held.expires_at_ns) {
      leases.push_back(held.what);
    }
  }
  std::sort(leases.begin(), leases.end());
  return leases;
}

const endpoint_model::held_lease* endpoint_model::FindLease(
    const slice_claim& claim,
    std::int64_t clock_ns) const {
  const auto found =
      std::find_if(leases_.begin(), leases_.end(), [&](const held_lease& held) {
        return clock_ns < held.expires_at_ns && held.what.at == claim.at &&
               held.what.range.Contains(claim.first);
      });
  return found == leases_.end() ? nullptr : &*found;
}

std::optional<refusal> endpoint_model::ReasonToRefuse(
    const endpoint_order& order,
    std::int64_t clock_ns) const {
  if (order.deadline_ns <= clock_ns) {
    return refusal::kExpired;
  }
  if (draining_since_ns_ &&
      clock_ns >= *draining_since_ns_ + traits_.drain_grace_ns) {
    return refusal::kDraining;
  }
  if (!traits_.checks_epoch) {
    return std::nullopt;
  }
  if (order.to != traits_.self) {
    return refusal::kWrongInstance;
  }
  if (order.dispatcher_epoch.value_or(highest_dispatcher_epoch_) <
      highest_dispatcher_epoch_) {
    return refusal::kStaleDispatcher;
  }
  if (order.slice && FindLease(*order.slice, clock_ns) == nullptr) {
    return refusal::kNotOwner;
  }
  return std::nullopt;
}

order_decision endpoint_model::Admit(const endpoint_order& order,
                                     std::int64_t clock_ns) {
  if (const auto reason = ReasonToRefuse(order, clock_ns)) {
    return refuse_order{*reason};
  }
  highest_dispatcher_epoch_ =
      std::max(highest_dispatcher_epoch_, order.dispatcher_epoch.value_or(0));
  if (running_.size() < traits_.slots) {
    const waiting_order started{next_ticket_++, order};
    Start(started, clock_ns);
    return run_order{started.ticket};
  }
  if (waiting_.size() >= traits_.queue_limit) {
    return refuse_order{refusal::kOverloaded};
  }
  waiting_.push_back({next_ticket_++, order});
  return queue_order{waiting_.back().ticket};
}

void endpoint_model::Start(const waiting_order& started,
                           std::int64_t clock_ns) {
  used_lease used;
  if (const auto& claim = started.order.slice) {
    const held_lease* held = FindLease(*claim, clock_ns);
    // An endpoint that checks nothing may run an order without a lease.
    used = held != nullptr ? held->what
                           : lease{{claim->first, claim->first}, claim->at};
  }
  running_.emplace(started.ticket, used);
}

std::vector<late_decision> endpoint_model::Finish(std::uint64_t ticket,
                                                  std::int64_t clock_ns) {
  running_.erase(ticket);
  std::vector<late_decision> decisions;
  while (!waiting_.empty() && running_.size() < traits_.slots) {
    const waiting_order next = std::move(waiting_.front());
    waiting_.pop_front();
    if (const auto reason = ReasonToRefuse(next.order, clock_ns)) {
      decisions.push_back({next.ticket, refuse_order{*reason}});
      continue;
    }
    Start(next, clock_ns);
    decisions.push_back({next.ticket, run_order{next.ticket}});
  }
  return decisions;
}

bool endpoint_model::CancelQueued(std::uint64_t ticket) {
  return std::erase_if(waiting_, [ticket](const waiting_order& waiting) {
           return waiting.ticket == ticket;
         }) != 0;
}

void endpoint_model::Drain(std::int64_t clock_ns) {
  if (!draining_since_ns_) {
    draining_since_ns_ = clock_ns;
  }
}

lease_reply endpoint_model::Report(std::int64_t clock_ns) const {
  lease_reply report;
  report.from = traits_.self;
  report.clock_ns = clock_ns;
  report.draining = draining_since_ns_.has_value();
  report.in_flight = static_cast<std::uint32_t>(running_.size());
  report.queued = static_cast<std::uint32_t>(waiting_.size());
  report.slots = traits_.slots;
  return report;
}

double endpoint_model::ServiceFactor(std::int64_t clock_ns) const {
  const std::int64_t age_ns = clock_ns - started_at_ns_;
  if (age_ns >= traits_.warm_up_ns) {
    return 1.0;
  }
  const double warm =
      static_cast<double>(age_ns) / static_cast<double>(traits_.warm_up_ns);
  return traits_.cold_factor + (1.0 - traits_.cold_factor) * warm;
}

}  // namespace bluebell
