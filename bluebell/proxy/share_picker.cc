#include "bluebell/proxy/share_picker.h"

#include <algorithm>
#include <cstddef>

namespace bluebell {

const service_share& share_picker::Pick(const service_route& route) {
  if (route.shares.size() == 1) {
    return route.shares.front();
  }
  route_credits& known = by_route_[route.name];
  if (known.shares != route.shares) {
    known.shares = route.shares;
    known.credits.assign(route.shares.size(), 0);
  }
  std::int64_t total = 0;
  for (std::size_t i = 0; i < route.shares.size(); ++i) {
    known.credits[i] += route.shares[i].weight;
    total += route.shares[i].weight;
  }
  const auto most =
      std::max_element(known.credits.begin(), known.credits.end());
  *most -= total;
  return route.shares[static_cast<std::size_t>(most - known.credits.begin())];
}

}  // namespace bluebell
