#include "bluebell/control/endpoint_registry.h"

#include <algorithm>
#include <utility>

namespace bluebell {

namespace {

using statuses_by_endpoint = std::map<endpoint_id, endpoint_status>;

// Merges two reports on an endpoint. A later run takes precedence. For the same
// run, draining takes precedence over serving, and serving over lost, because a
// daemon that reaches the endpoint has better evidence than one that does not.
endpoint_status MergeReports(const endpoint_status& a,
                             const endpoint_status& b) {
  if (a.instance.run != b.instance.run) {
    return a.instance.run > b.instance.run ? a : b;
  }
  const auto either = [&](endpoint_condition condition) {
    return a.condition == condition || b.condition == condition;
  };
  if (either(endpoint_condition::kDraining)) {
    return {a.instance, endpoint_condition::kDraining};
  }
  if (either(endpoint_condition::kServing)) {
    return {a.instance, endpoint_condition::kServing};
  }
  return a;
}

void AddReport(const endpoint_status& reported,
               statuses_by_endpoint& statuses) {
  const auto [found, added] =
      statuses.try_emplace(reported.instance.endpoint, reported);
  if (!added) {
    found->second = MergeReports(found->second, reported);
  }
}

}  // namespace

endpoint_registry::endpoint_registry(duration detection)
    : detection_(detection) {}

void endpoint_registry::SetHosts(const std::vector<host_entry>& hosts) {
  hosts_ = hosts;
  std::map<endpoint_id, entry> entries;
  for (const host_entry& host : hosts) {
    if (host.role != host_role::kEndpoint) {
      continue;
    }
    const endpoint_id id(host.name);
    const auto known = entries_.find(id);
    if (known != entries_.end()) {
      entries.insert(entries_.extract(known));
    }
    entry& current = entries[id];
    current.host = host;
    if (current.health) {
      current.health->SetListedDraining(host.state == host_state::kLeaving);
    }
  }
  entries_ = std::move(entries);
}

void endpoint_registry::RecordReply(const endpoint_id& endpoint,
                                    const lease_reply& reply,
                                    instant now) {
  const auto found = entries_.find(endpoint);
  if (found == entries_.end() || reply.from.endpoint != endpoint) {
    return;
  }
  std::optional<endpoint_health>& health = found->second.health;
  // Replies can arrive late, so an earlier run never replaces a later one.
  if (health && reply.from.run < health->instance().run) {
    return;
  }
  if (!health || health->instance() != reply.from) {
    health = endpoint_health(reply.from, detection_);
    health->SetListedDraining(found->second.host.state == host_state::kLeaving);
  }
  health->RecordSuccess(now);
  health->SetReportedDraining(reply.draining);
}

void endpoint_registry::RecordFailure(const endpoint_id& endpoint,
                                      instant sent_at) {
  const auto found = entries_.find(endpoint);
  if (found != entries_.end() && found->second.health) {
    found->second.health->RecordFailure(sent_at);
  }
}

void endpoint_registry::RecordExchange(const endpoint_instance& instance,
                                       bool answered,
                                       bool draining,
                                       instant now) {
  const auto found = entries_.find(instance.endpoint);
  if (found == entries_.end() || !found->second.health ||
      found->second.health->instance() != instance) {
    return;
  }
  // A failed exchange is not recorded, because a connection can stop working
  // while the endpoint serves. The lease requests, which use a connection of
  // their own, show whether the endpoint is reachable.
  if (answered) {
    found->second.health->RecordSuccess(now);
  }
  if (draining) {
    found->second.health->RecordDrainingRefusal(now);
  }
}

void endpoint_registry::ForgivePause(duration pause) {
  for (auto& [id, known] : entries_) {
    if (known.health) {
      known.health->ForgivePause(pause);
    }
  }
}

std::optional<incarnation> endpoint_registry::ObservedRun(
    const endpoint_id& endpoint) const {
  const auto found = entries_.find(endpoint);
  if (found == entries_.end() || !found->second.health) {
    return std::nullopt;
  }
  return found->second.health->instance().run;
}

std::vector<endpoint_status> endpoint_registry::ProbedStatuses(
    const std::set<endpoint_id>& probed,
    instant now) const {
  std::vector<endpoint_status> statuses;
  for (const endpoint_id& id : probed) {
    const auto found = entries_.find(id);
    if (found != entries_.end() && found->second.health) {
      const endpoint_health& health = *found->second.health;
      statuses.push_back({health.instance(), health.Condition(now)});
    }
  }
  return statuses;
}

std::vector<endpoint_info> endpoint_registry::KnownEndpoints(
    const member_view& view,
    const fleet_config& config,
    const std::set<endpoint_id>& probed,
    instant now) const {
  statuses_by_endpoint statuses;
  for (const endpoint_status& own : ProbedStatuses(probed, now)) {
    AddReport(own, statuses);
  }
  for (const auto& [id, peer] : view.members()) {
    if (!view.IsLive(id, now)) {
      continue;
    }
    for (const endpoint_status& reported : peer.endpoints) {
      AddReport(reported, statuses);
    }
  }
  std::vector<endpoint_info> known;
  for (const auto& [id, current] : entries_) {
    const auto found = statuses.find(id);
    if (found == statuses.end()) {
      continue;
    }
    endpoint_info info{found->second.instance, current.host.service,
                       current.host.domain, current.host.where,
                       found->second.condition};
    const config_scope scope{info.service, info.domain, id, caller_name()};
    const bool drain = config.ValuesFor(scope).drain ||
                       current.host.state == host_state::kLeaving;
    if (drain && info.condition == endpoint_condition::kServing) {
      info.condition = endpoint_condition::kDraining;
    }
    known.push_back(std::move(info));
  }
  return known;
}

}  // namespace bluebell
