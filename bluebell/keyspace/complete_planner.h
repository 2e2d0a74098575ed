// Plans all moves of keys that lead to an even use of the owners' capacities.
// For services with many owners, where a few moves at a time take too long
// after the load of keys has changed. A pure function; key_coordinator calls it
// on the control thread.
//
//   for (const planned_move& move : PlanCompleteRebalance(input)) { ... }

#ifndef BLUEBELL_KEYSPACE_COMPLETE_PLANNER_H_
#define BLUEBELL_KEYSPACE_COMPLETE_PLANNER_H_

#include <cstddef>
#include <map>
#include <vector>

#include "bluebell/core/ids.h"
#include "bluebell/keyspace/key_planner.h"
#include "bluebell/keyspace/key_range.h"
#include "bluebell/keyspace/shard_load.h"

namespace bluebell {

// A range and the endpoint that serves it, or will serve it after a move that
// is under way.
struct owned_range {
  key_range range;
  endpoint_instance owner;
  // False if the range is moving or must not be released now.
  bool is_movable = false;

  friend bool operator==(const owned_range&, const owned_range&) = default;
};

struct complete_plan_input {
  // The endpoints that may own keys, with each one's capacity in slots.
  std::map<endpoint_instance, double> owner_capacities;
  std::vector<owned_range> ranges;
  // In ascending order of the keys.
  std::vector<shard_load> loads;
  // The ranges that are moving now.
  std::vector<key_range> moving;
};

// Returns the moves that may start now, the greatest relief first. The share of
// the load that moves at the same time is bounded, because requests for moving
// keys wait; what exceeds it is left to the next plan. Empty if no owner is
// much busier than the mean.
std::vector<planned_move> PlanCompleteRebalance(complete_plan_input input);

}  // namespace bluebell

#endif  // BLUEBELL_KEYSPACE_COMPLETE_PLANNER_H_
