// One change of a placement table that a planner proposes.

#ifndef BLUEBELL_PLACEMENT_PLANNED_STEP_H_
#define BLUEBELL_PLACEMENT_PLANNED_STEP_H_

#include <variant>

#include "bluebell/core/ids.h"
#include "bluebell/core/key_hash.h"
#include "bluebell/placement/slice_range.h"

namespace bluebell {

// Gives the slice to another endpoint, or to its first one.
struct move_slice {
  slice_range range;
  endpoint_instance to;

  friend bool operator==(const move_slice&, const move_slice&) = default;
};

// Divides the slice. `at` is the first hash of the second part. The owner
// stays.
struct split_slice {
  slice_range range;
  key_hash at = 0;

  friend bool operator==(const split_slice&, const split_slice&) = default;
};

// Makes one key a slice of its own. The owner stays.
struct isolate_key {
  slice_range range;
  key_hash key = 0;

  friend bool operator==(const isolate_key&, const isolate_key&) = default;
};

// Joins two neighbours of one owner.
struct merge_slices {
  slice_range left;
  slice_range right;

  friend bool operator==(const merge_slices&, const merge_slices&) = default;
};

using planned_step =
    std::variant<move_slice, split_slice, isolate_key, merge_slices>;

}  // namespace bluebell

#endif  // BLUEBELL_PLACEMENT_PLANNED_STEP_H_
