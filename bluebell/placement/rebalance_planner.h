// Plans changes to a placement table from measured load. These are pure
// functions without state: equal inputs give equal plans. The loads in the
// input must already be smoothed (see load_smoother.h).
//
//   std::vector<planned_step> steps = PlanRebalance(input, limits);
//   for (const planned_step& step : steps) { std::visit(applier, step); }

#ifndef BLUEBELL_PLACEMENT_REBALANCE_PLANNER_H_
#define BLUEBELL_PLACEMENT_REBALANCE_PLANNER_H_

#include <vector>

#include "bluebell/placement/planned_step.h"
#include "bluebell/placement/rebalance_input.h"

namespace bluebell {

// An owner for each slice that needs one. Slices are taken in descending order
// of load, and each goes to the least loaded endpoint. Without measured load
// the slices are spread evenly over failure domains and endpoints. Empty if all
// endpoints are draining or there are none.
std::vector<move_slice> AssignOwners(const rebalance_input& input);

// Plans, in this order: isolates hot keys, moves slices off draining endpoints,
// moves slices off overloaded endpoints, and splits the heaviest slice of an
// endpoint that stays overloaded. If there are no such steps, merges adjacent
// slices with little load. Each slice occurs in at most one step.
std::vector<planned_step> PlanRebalance(const rebalance_input& input,
                                        const rebalance_limits& limits);

// The load per slot of the busiest endpoint that is not draining, as a multiple
// of the mean load per slot; at least 1.
double Imbalance(const rebalance_input& input);

}  // namespace bluebell

#endif  // BLUEBELL_PLACEMENT_REBALANCE_PLANNER_H_
