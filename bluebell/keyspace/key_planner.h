// Decides which endpoint should own which keys: keys without an owner get one,
// and endpoints that are busier than the others give keys away.
//
//   for (const planned_move& move : PlanKeyMoves(input)) { ... }

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

struct planned_move {
  key_range range;
  endpoint_instance to;

  friend bool operator==(const planned_move&, const planned_move&) = default;
};

struct key_plan_input {
  key_table table;
  // The endpoints that may own keys, with the work that each can do in slots.
  std::map<endpoint_instance, double> owners;
  // In the order of the keys.
  std::vector<shard_load> loads;
  // Ranges that are on their way to a new owner stay as they are.
  std::vector<key_range> moving;
  std::size_t max_moves = 16;
};

// Divides ranges without an owner, and those whose owner is in `lost`, among
// the owners, by load.
std::vector<planned_move> PlanOrphans(const key_plan_input& input,
                                      const std::vector<key_range>& orphans);

// Moves that even out the load. Empty if the busiest owner is near the mean.
std::vector<planned_move> PlanRebalance(const key_plan_input& input);

}  // namespace bluebell

#endif  // BLUEBELL_KEYSPACE_KEY_PLANNER_H_
