// Plans changes of a placement table from measured load. Pure functions: the
// same input gives the same plan. The plan expects loads that are smoothed
// outside (load_smoother), since it holds no state.
//
//   std::vector<planned_step> steps = PlanRebalance(input, limits);
//   for (const planned_step& step : steps) { std::visit(applier, step); }

#ifndef BLUEBELL_PLACEMENT_REBALANCE_PLANNER_H_
#define BLUEBELL_PLACEMENT_REBALANCE_PLANNER_H_

#include <vector>

#include "bluebell/placement/planned_step.h"
#include "bluebell/placement/rebalance_input.h"

namespace bluebell {

// An endpoint for each slice that has none, the heaviest slices first, each to
// the least loaded endpoint; without measured load spread evenly over failure
// domains and endpoints. Empty if no endpoint takes slices.
std::vector<move_slice> AssignOwners(const rebalance_input& input);

// In this order: keys that weigh too much are taken out of their slices,
// draining endpoints are emptied, busy endpoints are relieved, slices that are
// too heavy to move are split, and, if none of this is due, neighbours without
// load are merged. Each slice occurs in at most one step.
std::vector<planned_step> PlanRebalance(const rebalance_input& input,
                                        const rebalance_limits& limits);

// The busiest endpoint's load for each slot over the mean. 1 without load.
double Imbalance(const rebalance_input& input);

}  // namespace bluebell

#endif  // BLUEBELL_PLACEMENT_REBALANCE_PLANNER_H_
