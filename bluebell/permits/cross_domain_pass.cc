#include "bluebell/permits/cross_domain_pass.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>

namespace bluebell {

const cross_domain_pass::candidates_by_domain& cross_domain_pass::CandidatesFor(
    const permit_request& message) {
  const std::vector<endpoint_id>& excluded = message.excluded_endpoints;
  const auto [entry, is_new] = candidates_.try_emplace(excluded);
  if (!is_new) {
    return entry->second;
  }
  for (auto& [id, endpoint_state] : endpoints_) {
    if (!endpoint_state.IsInService(now_) ||
        std::find(excluded.begin(), excluded.end(), id) != excluded.end()) {
      continue;
    }
    const bool is_limited = limit_.IsLimited(endpoint_state.entry(), now_);
    const std::size_t allowed =
        is_limited ? limit_.Allowed(endpoint_state.entry(), now_) : 0;
    if (is_limited && allowed == 0) {
      continue;
    }
    domain_candidate& candidate = entry->second[endpoint_state.entry().domain];
    const double cost =
        endpoint_state.current_slowness(now_) / endpoint_state.success_ratio();
    candidate.least_cost = std::min(candidate.least_cost.value_or(cost), cost);
    if (!endpoint_state.HasFreeSlot(now_)) {
      continue;
    }
    const std::uint32_t free_slots = endpoint_state.FreeSlots(now_);
    candidate.free_slots +=
        is_limited ? static_cast<std::uint32_t>(
                         std::min<std::size_t>(free_slots, allowed))
                   : free_slots;
    // Warm endpoints are preferred, so that the permits for cold ones are left
    // for the requests that find no other slot.
    if (candidate.best == nullptr ||
        std::pair(is_limited, cost) <
            std::pair(candidate.is_limited, candidate.free_cost)) {
      candidate.best = &endpoint_state;
      candidate.free_cost = cost;
      candidate.is_limited = is_limited;
    }
  }
  return entry->second;
}

bool cross_domain_pass::IsPassedOver(
    const permit_request& message,
    const candidates_by_domain& candidates) const {
  if (held_back_ < max_held_back_ || message.rank == 0) {
    return false;
  }
  const auto own = candidates.find(message.domain);
  return own != candidates.end() && own->second.best == nullptr;
}

scheduled_endpoint* cross_domain_pass::Choose(const waiting_request& request) {
  const candidates_by_domain& candidates = CandidatesFor(request.message);
  if (IsPassedOver(request.message, candidates)) {
    return nullptr;
  }
  own_domain_option own;
  own.work_before = work_before_[request.message.domain];
  scheduled_endpoint* own_best = nullptr;
  offers_.clear();
  for (const auto& [domain, candidate] : candidates) {
    if (domain == request.message.domain) {
      own.least_cost = candidate.least_cost;
      own_best = candidate.best;
      if (own_best != nullptr) {
        own.free_cost = candidate.free_cost;
      }
    } else if (candidate.best != nullptr) {
      offers_.push_back({domain, candidate.free_cost, candidate.free_slots});
    }
  }
  if (const domain_offer* chosen =
          forecast_.Choose(request, own, offers_, now_)) {
    return candidates.at(chosen->domain).best;
  }
  if (own_best != nullptr && !forecast_.ShouldWait(request, own)) {
    return own_best;
  }
  work_before_[request.message.domain] += request.work;
  held_back_ += own_best != nullptr || !offers_.empty() ? 1 : 0;
  return nullptr;
}

}  // namespace bluebell
