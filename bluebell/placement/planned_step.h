// One change to a placement table that a planner proposes. The control state
// translates it into table edits.

#ifndef BLUEBELL_PLACEMENT_PLANNED_STEP_H_
#define BLUEBELL_PLACEMENT_PLANNED_STEP_H_

#include <variant>

#include "bluebell/core/ids.h"
#include "bluebell/core/key_hash.h"
#include "bluebell/placement/slice_range.h"
#include "bluebell/placement/table_edit.h"

namespace bluebell {

// Moves the slice to the endpoint instance `to`, or assigns it there if it has
// no owner.
struct move_slice {
  slice_range range;
  endpoint_instance to;

  friend bool operator==(const move_slice&, const move_slice&) = default;
};

// Splits the slice so that the hash `key` becomes a slice of its own. The owner
// does not change.
struct isolate_key {
  slice_range range;
  key_hash key = 0;

  friend bool operator==(const isolate_key&, const isolate_key&) = default;
};

using planned_step =
    std::variant<move_slice, split_slice, isolate_key, merge_slices>;

}  // namespace bluebell

#endif  // BLUEBELL_PLACEMENT_PLANNED_STEP_H_
