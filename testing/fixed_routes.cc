#include "testing/fixed_routes.h"

#include <algorithm>
#include <chrono>

#include "bluebell/placement/slice_range.h"
#include "bluebell/runtime/clock.h"

namespace bluebell {

std::shared_ptr<const routing_snapshot> FixedRoutes(
    const daemon_id& self,
    const service_spec& spec,
    const std::vector<fixed_endpoint>& endpoints) {
  service_routes routes;
  routes.spec = spec;
  routes.values.warm_up = milliseconds(0);
  routes.values.queue_limit = {1'000, 1'000, 2'000};
  for (const fixed_endpoint& fixed : endpoints) {
    endpoint_entry entry;
    entry.instance = fixed.instance;
    entry.where = fixed.where;
    entry.dispatcher = fixed.dispatcher;
    entry.dispatcher_address = fixed.dispatcher_address;
    entry.slots = spec.slots;
    entry.values = routes.values;
    routes.endpoints.push_back(entry);
  }
  std::sort(
      routes.endpoints.begin(), routes.endpoints.end(),
      [](const auto& a, const auto& b) { return a.instance < b.instance; });
  std::size_t next = 0;
  for (const slice_range& range : DivideHashSpace(spec.initial_slices)) {
    routes.slices.push_back({range, epoch(1),
                             endpoints[next++ % endpoints.size()].instance,
                             instant(), false, Now() + std::chrono::hours(1)});
  }
  routing_snapshot snapshot;
  snapshot.self = self;
  snapshot.services.emplace(spec.name, routes);
  return std::make_shared<const routing_snapshot>(snapshot);
}

}  // namespace bluebell
