// Keys that no endpoint serves at the moment.

#ifndef BLUEBELL_KEYSPACE_UNHELD_RANGE_H_
#define BLUEBELL_KEYSPACE_UNHELD_RANGE_H_

#include "bluebell/core/time.h"
#include "bluebell/keyspace/key_range.h"

namespace bluebell {

struct unheld_range {
  key_range range;
  // When an endpoint is expected to serve them again. The maximum if that
  // can't be said yet.
  instant until;

  friend bool operator==(const unheld_range&, const unheld_range&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_KEYSPACE_UNHELD_RANGE_H_
