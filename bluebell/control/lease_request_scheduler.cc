#include "bluebell/control/lease_request_scheduler.h"

#include <algorithm>
#include <utility>

namespace bluebell {

namespace {

constexpr std::size_t kMaxStoredRevocations = 10'000;

}  // namespace

lease_request_scheduler::lease_request_scheduler(const timing_settings& timing)
    : timing_(timing) {}

bool lease_request_scheduler::IsDue(const endpoint_id& endpoint,
                                    const lease_basis& basis,
                                    instant now) const {
  const auto found = entries_.find(endpoint);
  if (found == entries_.end()) {
    return true;
  }
  const entry& known = found->second;
  if (known.in_flight) {
    return false;
  }
  // A revocation is repeated until the endpoint has confirmed it.
  return basis.has_revocations || known.last_basis != basis ||
         !known.last_sent || now - *known.last_sent >= timing_.lease_renewal;
}

send_lease_request lease_request_scheduler::StartRequest(
    const wanted_leases& wanted,
    const lease_basis& basis,
    instant now) {
  entry& known = entries_[wanted.to.endpoint];
  known.in_flight = true;
  known.last_sent = now;
  known.last_basis = basis;
  lease_request request;
  request.to = wanted.to;
  request.revoked = wanted.revoked;
  // The expiry is computed from a clock reading of this instance.
  if (known.instance == wanted.to && !wanted.granted.empty()) {
    request.granted = wanted.granted;
    request.expires_at_ns =
        known.clock_ns + duration(timing_.lease_term).count();
  }
  return {wanted.where, std::move(request)};
}

void lease_request_scheduler::FinishRequest(const endpoint_id& endpoint,
                                            const lease_reply* reply) {
  const auto found = entries_.find(endpoint);
  if (found == entries_.end()) {
    return;
  }
  entry& known = found->second;
  known.in_flight = false;
  if (reply == nullptr) {
    known.last_sent.reset();
    return;
  }
  if (known.instance != reply->from) {
    // This reply gives the first clock reading of the instance, so the next
    // request, which can grant leases, is sent at once.
    known.instance = reply->from;
    known.clock_ns = reply->clock_ns;
    known.last_sent.reset();
    known.revoked.clear();
  }
  known.clock_ns = std::max(known.clock_ns, reply->clock_ns);
  known.revoked.insert(reply->revoked.begin(), reply->revoked.end());
  while (known.revoked.size() > kMaxStoredRevocations) {
    known.revoked.erase(known.revoked.begin());
  }
}

bool lease_request_scheduler::IsRevoked(const endpoint_instance& instance,
                                        const lease& what) const {
  const auto found = entries_.find(instance.endpoint);
  return found != entries_.end() && found->second.instance == instance &&
         found->second.revoked.contains(what);
}

void lease_request_scheduler::RetainOnly(const std::set<endpoint_id>& current) {
  std::erase_if(entries_, [&](const auto& known) {
    return !current.contains(known.first);
  });
}

}  // namespace bluebell
