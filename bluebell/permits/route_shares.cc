#include "bluebell/permits/route_shares.h"

#include <algorithm>
#include <chrono>

namespace bluebell {

namespace {

// Bursts last several seconds. Within that time a burst must not become the
// share of its route.
constexpr std::chrono::duration<double> kDemandTime{30};
// Within this time a route that had more than its share gives way to others.
// Callers have about a second until their objective.
constexpr std::chrono::duration<double> kServedTime{0.5};

double Total(const std::map<std::string, decaying_load>& loads,
             std::chrono::duration<double> time_constant,
             instant now) {
  double total = 0;
  for (const auto& [route, load] : loads) {
    total += load.SlotsAt(time_constant, now);
  }
  return total;
}

}  // namespace

void route_shares::AddDemand(const std::string& route,
                             duration work,
                             instant now) {
  demand_[route].Add(work, kDemandTime, now);
}

void route_shares::AddServed(const endpoint_id& queue,
                             const std::string& route,
                             duration work,
                             instant now) {
  served_[queue][route].Add(work, kServedTime, now);
}

double route_shares::ShareOf(const std::string& route, instant now) const {
  const double total = Total(demand_, kDemandTime, now);
  const auto own = demand_.find(route);
  return own == demand_.end() || total <= 0
             ? 1
             : std::max(kMinShare,
                        own->second.SlotsAt(kDemandTime, now) / total);
}

std::vector<std::string> route_shares::RoutesOverShare(const endpoint_id& queue,
                                                       instant now) const {
  std::vector<std::string> over;
  const auto served = served_.find(queue);
  if (served == served_.end() || demand_.size() < 2) {
    return over;
  }
  const double total = Total(served->second, kServedTime, now);
  for (const auto& [route, load] : served->second) {
    if (load.SlotsAt(kServedTime, now) > ShareOf(route, now) * total) {
      over.push_back(route);
    }
  }
  return over;
}

}  // namespace bluebell
