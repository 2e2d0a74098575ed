#include "bluebell/control/snapshot_builder.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include "bluebell/core/overloaded.h"
#include "bluebell/ownership/renewal_limit.h"

namespace bluebell {

namespace {

class builder {
 public:
  explicit builder(const snapshot_inputs& inputs) : inputs_(inputs) {}

  routing_snapshot Build() {
    routing_snapshot snapshot;
    snapshot.self = inputs_.view.self().id;
    snapshot.domain = inputs_.view.domain();
    snapshot.config = inputs_.config;
    for (const service_spec& spec : inputs_.settings.services) {
      snapshot.services[spec.name] = Routes(spec);
    }
    return snapshot;
  }

 private:
  service_routes Routes(const service_spec& spec) {
    service_routes routes;
    routes.spec = spec;
    routes.values = inputs_.config.ValuesFor(
        {spec.name, inputs_.view.domain(), endpoint_id(), caller_name()});
    const auto local = inputs_.local_tables.find(spec.name);
    const local_table* known_table =
        local == inputs_.local_tables.end() ? nullptr : &local->second;
    if (known_table) {
      routes.version = known_table->table().version();
      routes.slices = Slices(*known_table);
    }
    for (const endpoint_info& endpoint : inputs_.endpoints) {
      if (endpoint.service == spec.name) {
        routes.endpoints.push_back(Entry(spec, endpoint, known_table));
      }
    }
    std::sort(routes.endpoints.begin(), routes.endpoints.end(),
              [](const endpoint_entry& a, const endpoint_entry& b) {
                return a.instance < b.instance;
              });
    return routes;
  }

  std::vector<slice_route> Slices(const local_table& local) const {
    const instant may_write = MayWriteUntil(local);
    std::vector<slice_route> routes;
    for (const slice& current : local.table().slices()) {
      slice_route route;
      route.range = current.range;
      route.at = EpochOf(current.state);
      route.owner = OwnerOf(current.state);
      route.may_write_until = may_write;
      route.owner_since =
          local.SliceStateSince(current.range.first).value_or(inputs_.now);
      if (const auto* moving_state = std::get_if<moving>(&current.state)) {
        route.in_planned_move = moving_state->cause != move_cause::kDomainLost;
      }
      routes.push_back(std::move(route));
    }
    return routes;
  }

  instant MayWriteUntil(const local_table& local) const {
    if (local.spec().checks_epoch) {
      return instant::max();
    }
    const renewal_limit limit = RenewalLimit(
        local.replica(), local.peers(), inputs_.view.self(),
        inputs_.view.domain(), inputs_.settings.timing, inputs_.now);
    return limit.basis == renewal_basis::kNone
               ? instant::min()
               : std::chrono::floor<milliseconds>(limit.until);
  }

  endpoint_entry Entry(const service_spec& spec,
                       const endpoint_info& endpoint,
                       const local_table* local) const {
    endpoint_entry entry;
    entry.instance = endpoint.instance;
    entry.where = endpoint.where;
    entry.domain = endpoint.domain;
    entry.condition = endpoint.condition;
    entry.slots = spec.slots;
    entry.values =
        inputs_.config.ValuesFor({spec.name, endpoint.domain,
                                  endpoint.instance.endpoint, caller_name()});
    const auto dispatcher = Dispatcher(spec, endpoint, local);
    if (!dispatcher) {
      return entry;
    }
    entry.dispatcher = dispatcher->id;
    const auto& members = inputs_.view.members();
    const auto known = members.find(dispatcher->id);
    entry.dispatcher_address = known == members.end()
                                   ? inputs_.settings.peer_listen
                                   : known->second.peer_address;
    return entry;
  }

  std::optional<daemon_instance> Dispatcher(const service_spec& spec,
                                            const endpoint_info& endpoint,
                                            const local_table* local) const {
    const member_view& view = inputs_.view;
    std::vector<daemon_instance> candidates =
        view.LiveIn(endpoint.domain, inputs_.now);
    if (!spec.checks_epoch && local) {
      // Only members of the roster may send orders to endpoints that do not
      // check epochs.
      std::erase_if(candidates, [&](const daemon_instance& candidate) {
        return !local->table().IsRosterMember(endpoint.domain, candidate);
      });
    } else if (candidates.empty()) {
      candidates = view.Live(inputs_.now);
    }
    const std::string role = "dispatch/" + endpoint.instance.endpoint.value();
    candidates = RankForRole(role, std::move(candidates));
    if (candidates.empty()) {
      return std::nullopt;
    }
    return candidates.front();
  }

  const snapshot_inputs& inputs_;
};

}  // namespace

routing_snapshot BuildSnapshot(const snapshot_inputs& inputs) {
  return builder(inputs).Build();
}

}  // namespace bluebell
