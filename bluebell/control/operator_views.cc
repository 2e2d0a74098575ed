#include "bluebell/control/operator_views.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <sstream>
#include <utility>

#include <boost/json.hpp>

#include "bluebell/core/key_hash.h"
#include "bluebell/core/overloaded.h"
#include "bluebell/ownership/renewal_limit.h"

namespace bluebell {

namespace json = boost::json;

namespace {

constexpr unsigned kNotFound = 404;

std::string Hex(key_hash value) {
  std::ostringstream text;
  text << slice_range{value, value};
  return text.str();
}

std::int64_t Milliseconds(duration value) {
  return std::chrono::duration_cast<milliseconds>(value).count();
}

// Milliseconds since `then`, or null.
json::value Age(std::optional<instant> then, instant now) {
  return then ? json::value(Milliseconds(now - *then)) : json::value();
}

json::object Daemon(const daemon_instance& instance,
                    const domain_name& domain,
                    config_version config) {
  return {{"id", instance.id.value()},
          {"run", instance.run.value()},
          {"domain", domain.value()},
          {"config_version", config.value()}};
}

json::array Daemons(const snapshot_inputs& inputs) {
  const member_view& view = inputs.view;
  json::object self =
      Daemon(view.self(), view.domain(), inputs.config.version());
  self["live"] = true;
  self["last_heard_ms"] = 0;
  json::array daemons = {std::move(self)};
  for (const auto& [id, known] : view.members()) {
    json::object row = Daemon(known.instance, known.domain, known.config);
    row["live"] = view.IsLive(id, inputs.now);
    row["leaving"] = known.leaving;
    row["last_heard_ms"] = Age(known.last_heard, inputs.now);
    daemons.push_back(std::move(row));
  }
  return daemons;
}

json::array Endpoints(const routing_snapshot& snapshot) {
  json::array endpoints;
  for (const auto& [service, routes] : snapshot.services) {
    for (const endpoint_entry& entry : routes.endpoints) {
      endpoints.push_back(json::object{
          {"id", entry.instance.endpoint.value()},
          {"run", entry.instance.run.value()},
          {"service", service.value()},
          {"domain", entry.domain.value()},
          {"condition", ToString(entry.condition)},
          {"dispatcher", entry.dispatcher.value()},
          {"slots", entry.slots},
      });
    }
  }
  return endpoints;
}

json::object Service(const snapshot_inputs& inputs, const service_spec& spec) {
  json::object row = {{"name", spec.name.value()}, {"keyed", spec.keyed}};
  const auto local = inputs.local_tables.find(spec.name);
  if (local == inputs.local_tables.end()) {
    return row;
  }
  std::uint64_t owned_count = 0;
  std::uint64_t moving_count = 0;
  std::uint64_t unassigned_count = 0;
  const placement_table& table = local->second.table();
  for (const slice& current : table.slices()) {
    std::visit(overloaded{[&](const owned&) { ++owned_count; },
                          [&](const moving&) { ++moving_count; },
                          [&](const unassigned&) { ++unassigned_count; }},
               current.state);
  }
  const renewal_limit limit = RenewalLimit(
      local->second.replica(), local->second.peers(), inputs.view.self(),
      inputs.view.domain(), inputs.settings.timing, inputs.now);
  row["slices"] = table.slices().size();
  row["owned"] = owned_count;
  row["moving"] = moving_count;
  row["unassigned"] = unassigned_count;
  row["table_version"] = table.version().value();
  row["proof_age_ms"] = Age(local->second.replica().proven_at(), inputs.now);
  row["renewal_basis"] = ToString(limit.basis);
  return row;
}

json::object Store(const snapshot_inputs& inputs) {
  std::optional<instant> last_answer;
  for (const auto& [service, local] : inputs.local_tables) {
    last_answer = std::max(last_answer, local.sync().last_answer_at());
  }
  constexpr seconds kReachableWithin{5};
  const bool reachable =
      last_answer && inputs.now - *last_answer < kReachableWithin;
  return {{"reachable", reachable},
          {"last_read_ms", Age(last_answer, inputs.now)}};
}

json::object SliceRow(const slice& current) {
  json::object row = {{"first", Hex(current.range.first)},
                      {"last", Hex(current.range.last)},
                      {"epoch", EpochOf(current.state).value()}};
  std::visit(overloaded{[&](const unassigned&) { row["state"] = "unassigned"; },
                        [&](const owned& state) {
                          row["state"] = "owned";
                          row["owner"] = state.owner.endpoint.value();
                          row["run"] = state.owner.run.value();
                          row["domain"] = state.domain.value();
                        },
                        [&](const moving& state) {
                          row["state"] = "moving";
                          row["owner"] = state.from.endpoint.value();
                          row["run"] = state.from.run.value();
                          row["domain"] = state.from_domain.value();
                          row["cause"] = ToString(state.cause);
                        }},
             current.state);
  return row;
}

json::array Evidence(const snapshot_inputs& inputs,
                     const local_table& local,
                     const endpoint_entry* owner) {
  json::array evidence;
  const placement_table& table = local.table();
  evidence.emplace_back("table version " +
                        std::to_string(table.version().value()) +
                        " written by change " + table.change().value());
  if (const auto proven = local.replica().proven_at()) {
    evidence.emplace_back("version proved current " +
                          std::to_string(Milliseconds(inputs.now - *proven)) +
                          " ms ago");
  } else {
    evidence.emplace_back("no proof that the version is current");
  }
  if (local.replica().stale()) {
    evidence.emplace_back("a newer version is known to exist");
  }
  if (owner) {
    evidence.emplace_back("owner is " +
                          std::string(ToString(owner->condition)) +
                          " as its probing daemons report");
  }
  return evidence;
}

}  // namespace

operator_reply StatusView(const snapshot_inputs& inputs,
                          const routing_snapshot& snapshot) {
  json::array services;
  for (const service_spec& spec : inputs.settings.services) {
    services.push_back(Service(inputs, spec));
  }
  json::array silent;
  for (const domain_name& domain : inputs.view.SilentDomains(inputs.now)) {
    silent.emplace_back(domain.value());
  }
  return {200, json::serialize(json::object{
                   {"daemon", inputs.view.self().id.value()},
                   {"domain", inputs.view.domain().value()},
                   {"region", inputs.settings.region},
                   {"config_version", inputs.config.version().value()},
                   {"daemons", Daemons(inputs)},
                   {"endpoints", Endpoints(snapshot)},
                   {"services", std::move(services)},
                   {"silent_domains", std::move(silent)},
                   {"store", Store(inputs)},
               })};
}

operator_reply ConfigView(const fleet_config& config) {
  return {200, config.ToJson()};
}

operator_reply PlacementView(const snapshot_inputs& inputs) {
  json::array services;
  for (const auto& [service, local] : inputs.local_tables) {
    json::array slices;
    for (const slice& current : local.table().slices()) {
      slices.push_back(SliceRow(current));
    }
    services.push_back(
        json::object{{"name", service.value()},
                     {"version", local.table().version().value()},
                     {"slices", std::move(slices)}});
  }
  return {200,
          json::serialize(json::object{{"services", std::move(services)}})};
}

operator_reply ExplainView(const snapshot_inputs& inputs,
                           const routing_snapshot& snapshot,
                           const explain_key& wanted) {
  const auto local = inputs.local_tables.find(wanted.service);
  if (local == inputs.local_tables.end()) {
    return {kNotFound,
            json::serialize(json::object{
                {"error", "service " + wanted.service.value() +
                              " is unknown here or not divided by key"}})};
  }
  const key_hash where = HashKey(wanted.service, wanted.key);
  const slice& current = local->second.table().FindSlice(where);
  json::object row = SliceRow(current);
  row["slice"] = json::object{{"first", row["first"]}, {"last", row["last"]}};
  row.erase("first");
  row.erase("last");
  row["service"] = wanted.service.value();
  row["hash"] = Hex(where);
  row["since_ms"] =
      Age(local->second.SliceStateSince(current.range.first), inputs.now);
  const endpoint_entry* owner = nullptr;
  if (const auto instance = OwnerOf(current.state)) {
    const auto routes = snapshot.services.find(wanted.service);
    if (routes != snapshot.services.end()) {
      owner = routes->second.FindEndpoint(*instance);
    }
  }
  if (owner) {
    row["dispatcher"] = owner->dispatcher.value();
  }
  row["evidence"] = Evidence(inputs, local->second, owner);
  return {200, json::serialize(row)};
}

}  // namespace bluebell
