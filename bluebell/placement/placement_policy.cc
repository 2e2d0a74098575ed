#include "bluebell/placement/placement_policy.h"

#include <algorithm>
#include <string>

#include "bluebell/core/key_hash.h"
#include "bluebell/core/overloaded.h"
#include "bluebell/placement/internal/load_projection.h"
#include "bluebell/placement/rebalance_planner.h"

namespace bluebell {

namespace {

const usable_endpoint* OwnerByHash(const rebalance_input& input,
                                   const slice_range& range) {
  const std::string role = "slice " + std::to_string(range.first);
  const usable_endpoint* best = nullptr;
  std::uint64_t best_weight = 0;
  for (const usable_endpoint& candidate : input.endpoints) {
    const std::uint64_t weight =
        RendezvousWeight(role, candidate.instance.endpoint.value());
    if (!candidate.draining && (best == nullptr || weight > best_weight)) {
      best = &candidate;
      best_weight = weight;
    }
  }
  return best;
}

std::vector<move_slice> PlanOwnersByHash(const rebalance_input& input) {
  std::vector<move_slice> moves;
  for (const slice& current : input.slices) {
    const usable_endpoint* owner = OwnerByHash(input, current.range);
    if (owner != nullptr && NeedsOwner(input, current)) {
      moves.push_back({current.range, owner->instance});
    }
  }
  return moves;
}

std::vector<planned_step> PlanMovesByHash(const rebalance_input& input,
                                          const rebalance_limits& limits) {
  std::vector<planned_step> steps;
  for (const slice& current : input.slices) {
    const usable_endpoint* owner = OwnerByHash(input, current.range);
    const auto* ownership = std::get_if<owned>(&current.state);
    if (owner != nullptr && ownership != nullptr &&
        ownership->owner != owner->instance &&
        steps.size() < limits.max_moves) {
      steps.emplace_back(move_slice{current.range, owner->instance});
    }
  }
  return steps;
}

}  // namespace

result<placement_policy> ParsePlacementPolicy(std::string_view name) {
  if (name == "bluebell") {
    return placement_policy(measured_load_placement{});
  }
  if (name == "consistent_hash") {
    return placement_policy(consistent_hash_placement{});
  }
  return error(errc::kInvalidArgument, step::kParseSettings, std::string(name),
               "placement_policy must be bluebell or consistent_hash");
}

std::vector<move_slice> PlanOwners(const placement_policy& policy,
                                   const rebalance_input& input) {
  return std::visit(overloaded{[&](const measured_load_placement&) {
                                 return AssignOwners(input);
                               },
                               [&](const consistent_hash_placement&) {
                                 return PlanOwnersByHash(input);
                               }},
                    policy);
}

std::vector<planned_step> Plan(const placement_policy& policy,
                               const rebalance_input& input,
                               const rebalance_limits& limits) {
  return std::visit(overloaded{[&](const measured_load_placement&) {
                                 return PlanRebalance(input, limits);
                               },
                               [&](const consistent_hash_placement&) {
                                 return PlanMovesByHash(input, limits);
                               }},
                    policy);
}

}  // namespace bluebell
