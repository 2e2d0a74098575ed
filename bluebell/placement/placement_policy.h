// How slices are assigned to endpoints: by measured load, or by consistent
// hashing as a baseline for comparison.
//
//   result<placement_policy> policy = ParsePlacementPolicy("consistent_hash");
//   std::vector<planned_step> steps = Plan(policy.value(), input, limits);

#ifndef BLUEBELL_PLACEMENT_PLACEMENT_POLICY_H_
#define BLUEBELL_PLACEMENT_PLACEMENT_POLICY_H_

#include <string_view>
#include <variant>
#include <vector>

#include "bluebell/core/result.h"
#include "bluebell/placement/planned_step.h"
#include "bluebell/placement/rebalance_input.h"

namespace bluebell {

// "bluebell": assigns slices by measured load, see rebalance_planner.h.
struct measured_load_placement {
  friend bool operator==(const measured_load_placement&,
                         const measured_load_placement&) = default;
};

// "consistent_hash": assigns each slice to the endpoint with the highest
// rendezvous weight, regardless of load.
struct consistent_hash_placement {
  friend bool operator==(const consistent_hash_placement&,
                         const consistent_hash_placement&) = default;
};

using placement_policy =
    std::variant<measured_load_placement, consistent_hash_placement>;

// Parses the setting `placement_policy`. Fails with errc::kInvalidArgument for
// an unknown name.
result<placement_policy> ParsePlacementPolicy(std::string_view name);

// New owners for all slices that need one: unassigned slices, and moving slices
// without a usable target endpoint.
std::vector<move_slice> PlanOwners(const placement_policy& policy,
                                   const rebalance_input& input);

// Changes that improve the distribution of load, most important first.
std::vector<planned_step> Plan(const placement_policy& policy,
                               const rebalance_input& input,
                               const rebalance_limits& limits);

}  // namespace bluebell

#endif  // BLUEBELL_PLACEMENT_PLACEMENT_POLICY_H_
