#include "bluebell/permits/route_shares.h"

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

void route_shares::ForgetQueues(
    const std::function<bool(const endpoint_id& queue)>& exists) {
  std::erase_if(served_,
                [&](const auto& entry) { return !exists(entry.first); });
}

std::vector<std::string> route_shares::RoutesOverShare(const endpoint_id& queue,
                                                       instant now) const {
  std::vector<std::string> over;
  const auto served = served_.find(queue);
  if (served == served_.end() || demand_.size() < 2) {
    return over;
  }
  const double total_served = Total(served->second, kServedTime, now);
  const double total_demand = Total(demand_, kDemandTime, now);
  for (const auto& [route, load] : served->second) {
    const auto demand = demand_.find(route);
    if (demand != demand_.end() &&
        load.SlotsAt(kServedTime, now) * total_demand >
            demand->second.SlotsAt(kDemandTime, now) * total_served) {
      over.push_back(route);
    }
  }
  return over;
}

}  // namespace bluebell
