#include "bluebell/routing/service_routes.h"

#include <algorithm>

namespace bluebell {

const slice_route* service_routes::FindSlice(key_hash hash) const {
  const auto after =
      std::upper_bound(slices.begin(), slices.end(), hash,
                       [](key_hash value, const slice_route& slice) {
                         return value < slice.range.first;
                       });
  if (after == slices.begin()) {
    return nullptr;
  }
  const slice_route& candidate = *std::prev(after);
  return candidate.range.Contains(hash) ? &candidate : nullptr;
}

const endpoint_entry* service_routes::FindEndpoint(
    const endpoint_instance& instance) const {
  const auto found = std::lower_bound(
      endpoints.begin(), endpoints.end(), instance,
      [](const endpoint_entry& entry, const endpoint_instance& wanted) {
        return entry.instance < wanted;
      });
  const bool exists = found != endpoints.end() && found->instance == instance;
  return exists ? &*found : nullptr;
}

}  // namespace bluebell
