// Decides which endpoint should own which keys: assigns keys without an owner,
// and moves keys from endpoints that are busier than the others. Pure
// functions; key_coordinator calls them on the control thread.
//
//   for (const planned_move& move : PlanRebalance(input)) { ... }

#ifndef BLUEBELL_KEYSPACE_KEY_PLANNER_H_
#define BLUEBELL_KEYSPACE_KEY_PLANNER_H_

#include <cstddef>
#include <map>
#include <vector>

#include "bluebell/core/ids.h"
#include "bluebell/keyspace/key_range.h"
#include "bluebell/keyspace/key_table.h"
#include "bluebell/keyspace/shard_load.h"

namespace bluebell {

// Assigns `range` to `to`.
struct planned_move {
  key_range range;
  endpoint_instance to;

  friend bool operator==(const planned_move&, const planned_move&) = default;
};

struct key_plan_input {
  key_table table;
  // The endpoints that may own keys, with each one's capacity in slots.
  std::map<endpoint_instance, double> owner_capacities;
  // In ascending order of the keys.
  std::vector<shard_load> loads;
  // Ranges that may not be moved, because they are moving already or a grant of
  // them is unanswered.
  std::vector<key_range> moving;
  // Upper limit of the moves that PlanRebalance() returns.
  std::size_t max_moves = 16;
};

// Divides the ranges `unowned_ranges`, which need a new owner, among the owners
// so that the use of their capacities becomes even. Empty if there are no
// owners.
std::vector<planned_move> PlanUnownedRanges(
    const key_plan_input& input,
    const std::vector<key_range>& unowned_ranges);

// Returns moves that even out the load. Empty if the busiest owner's use of its
// capacity is close to the mean.
std::vector<planned_move> PlanRebalance(const key_plan_input& input);

}  // namespace bluebell

#endif  // BLUEBELL_KEYSPACE_KEY_PLANNER_H_
