// Permission for an endpoint instance to serve a slice under an epoch.

#ifndef BLUEBELL_OWNERSHIP_LEASE_H_
#define BLUEBELL_OWNERSHIP_LEASE_H_

#include "bluebell/core/ids.h"
#include "bluebell/placement/slice_range.h"

namespace bluebell {

struct lease {
  slice_range range;
  epoch at;

  friend bool operator==(const lease&, const lease&) = default;
  friend auto operator<=>(const lease&, const lease&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_OWNERSHIP_LEASE_H_
