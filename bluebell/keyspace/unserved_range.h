// A range of keys that no endpoint serves now, because the keys are moving or
// their owner hasn't accepted its first grant.

#ifndef BLUEBELL_KEYSPACE_UNSERVED_RANGE_H_
#define BLUEBELL_KEYSPACE_UNSERVED_RANGE_H_

#include "bluebell/core/time.h"
#include "bluebell/keyspace/key_range.h"

namespace bluebell {

struct unserved_range {
  key_range range;
  // When an endpoint is expected to serve the range again; instant() if it may
  // at any moment, instant::max() if the time isn't known.
  instant until;

  friend bool operator==(const unserved_range&,
                         const unserved_range&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_KEYSPACE_UNSERVED_RANGE_H_
