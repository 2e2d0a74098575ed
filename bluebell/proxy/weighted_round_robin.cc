#include "bluebell/proxy/weighted_round_robin.h"

#include <algorithm>
#include <cstddef>

namespace bluebell {

const service_share& weighted_round_robin::Pick(const service_route& route) {
  if (route.shares.size() == 1) {
    return route.shares.front();
  }
  route_credits& state = credits_by_route_[route.name];
  if (state.shares != route.shares) {
    state.shares = route.shares;
    state.credits.assign(route.shares.size(), 0);
  }
  std::int64_t total = 0;
  for (std::size_t i = 0; i < route.shares.size(); ++i) {
    state.credits[i] += route.shares[i].weight;
    total += route.shares[i].weight;
  }
  const auto highest =
      std::max_element(state.credits.begin(), state.credits.end());
  *highest -= total;
  return route
      .shares[static_cast<std::size_t>(highest - state.credits.begin())];
}

}  // namespace bluebell
