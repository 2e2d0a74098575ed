// Permits an endpoint instance to serve the keys of a slice at an epoch of its
// ownership. When it expires is part of the lease_request that grants it.

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
