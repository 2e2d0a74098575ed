#include "bluebell/fleet/fleet_state.h"

#include <algorithm>
#include <cstddef>
#include <set>
#include <utility>
#include <variant>

#include "bluebell/core/overloaded.h"
#include "bluebell/core/store_era.h"
#include "bluebell/fleet/store_keys.h"

namespace bluebell {

namespace {

// Within this time after an outage of the store, running endpoints and the
// operators have written their values again.
constexpr milliseconds kEntryReturnTime{2'000};
// An endpoint process without an entry has ended this long after it stated that
// it is leaving.
constexpr seconds kLeavingRecordLifetime{600};

store_version RevisionOfEvent(const kv_event& event) {
  return std::visit([](const auto& each) { return each.revision; }, event);
}

}  // namespace

fleet_state::fleet_state(fleet_decoders decoders)
    : decoders_(std::move(decoders)) {}

std::vector<kv_event> fleet_state::ApplyListing(
    const std::vector<kv_item>& items,
    const store_version& revision,
    instant now) {
  std::vector<kv_event> changes;
  std::set<std::string, std::less<>> present;
  for (const kv_item& item : items) {
    present.insert(item.key);
    // A page of the listing may be older than a change that a watch has
    // reported.
    if (RevisionOf(item.key) < item.revision) {
      changes.emplace_back(item);
    }
  }
  for (const auto& [key, known] : revisions_) {
    if (!present.contains(key)) {
      changes.emplace_back(kv_deletion{key, revision, false});
    }
  }
  std::stable_sort(changes.begin(), changes.end(),
                   [](const kv_event& a, const kv_event& b) {
                     return RevisionOfEvent(a) < RevisionOfEvent(b);
                   });
  for (const kv_event& change : changes) {
    Apply(change, now);
  }
  listing_revision_ = std::max(listing_revision_, revision);
  return changes;
}

void fleet_state::Apply(const kv_event& event, instant now) {
  std::visit(overloaded{[&](const kv_item& item) {
                          if (RevisionOf(item.key) < item.revision) {
                            Put(item, now);
                          }
                        },
                        [&](const kv_deletion& deletion) {
                          if (deletion.is_exact) {
                            RecordChange(deletion.key, deletion.revision);
                          }
                          if (RevisionOf(deletion.key) <= deletion.revision) {
                            Remove(deletion, now);
                          }
                        }},
             event);
}

void fleet_state::RecordChange(std::string_view key,
                               const store_version& revision) {
  if (!key.starts_with(kTablePrefix)) {
    current_.revision = std::max(current_.revision, revision);
  }
  if (key.starts_with(decoders_.endpoint_prefix)) {
    current_.endpoints_revision =
        std::max(current_.endpoints_revision, revision);
  }
}

bool fleet_state::Covers(const store_version& revision) const {
  return revision <= std::max(current_.revision, listing_revision_);
}

bool fleet_state::CoversEndpoints(const store_version& revision) const {
  return revision <= std::max(current_.endpoints_revision, listing_revision_);
}

bool fleet_state::RaiseRevisionTo(const store_version& revision) {
  const bool is_raised = current_.revision < revision && Covers(revision);
  if (is_raised) {
    current_.revision = revision;
  }
  return is_raised;
}

void fleet_state::OnStoreRecovered(instant now) {
  removals_delayed_until_ = now + kEntryReturnTime;
}

void fleet_state::DelayRemovalsUntil(instant time) {
  removals_delayed_until_ = std::max(removals_delayed_until_, time);
}

bool fleet_state::RemoveLapsed(instant now) {
  const std::vector<domain_name> ended = evacuations_.TakeEnded(now);
  for (const domain_name& domain : ended) {
    MarkEvacuated(domain, false, now);
  }
  const auto removed_count =
      std::erase_if(lapse_times_, [&](const auto& entry) {
        if (now < entry.second) {
          return false;
        }
        EraseEndpoint(entry.first);
        return true;
      });
  const auto removed_members =
      std::erase_if(member_lapse_times_, [&](const auto& entry) {
        if (now < entry.second) {
          return false;
        }
        current_.members.erase(entry.first);
        return true;
      });
  return removed_count > 0 || removed_members > 0 || !ended.empty();
}

std::optional<instant> fleet_state::NextLapseTime() const {
  std::optional<instant> next = evacuations_.NextEnd();
  for (const auto& [id, lapse_time] : lapse_times_) {
    next = next ? std::min(*next, lapse_time) : lapse_time;
  }
  for (const auto& [id, lapse_time] : member_lapse_times_) {
    next = next ? std::min(*next, lapse_time) : lapse_time;
  }
  return next;
}

store_version fleet_state::RevisionOf(std::string_view key) const {
  const auto found = revisions_.find(key);
  return found == revisions_.end() ? store_version() : found->second;
}

std::vector<error> fleet_state::TakeErrors() {
  return std::exchange(errors_, {});
}

std::vector<endpoint_departure> fleet_state::TakeDepartures() {
  return std::exchange(departures_, {});
}

std::vector<evacuation_change> fleet_state::TakeEvacuationChanges() {
  return std::exchange(evacuation_changes_, {});
}

void fleet_state::EraseEndpoint(const endpoint_id& id) {
  if (current_.endpoints.erase(id) > 0) {
    departures_.push_back({id, departure_cause::kRemoved});
  }
}

void fleet_state::Put(const kv_item& item, instant now) {
  revisions_.insert_or_assign(item.key, item.revision);
  RecordChange(item.key, item.revision);
  if (item.key.starts_with(decoders_.endpoint_prefix)) {
    PutEndpoint(item, now);
  } else if (item.key == decoders_.config_key) {
    PutConfig(item);
  } else if (const auto domain = EvacuatedBy(item.key)) {
    BeginEvacuation(*domain);
  } else if (item.key.starts_with(kTablePrefix)) {
    PutTable(item);
  } else if (item.key.starts_with(kDaemonStatePrefix)) {
    PutDaemonState(item);
  }
}

void fleet_state::PutTable(const kv_item& item) {
  result<key_table> table = key_table::FromJson(item.value);
  if (!table) {
    errors_.push_back(table.error());
    return;
  }
  const service_name service(item.key.substr(kTablePrefix.size()));
  if (!IsRevertedTable(service, table.value(), item.revision)) {
    current_.tables.insert_or_assign(service, std::move(table).value());
  }
}

bool fleet_state::IsRevertedTable(const service_name& service,
                                  const key_table& table,
                                  const store_version& revision) const {
  const auto known = current_.tables.find(service);
  return EraOf(revision) != store_era() && known != current_.tables.end() &&
         table.highest_fence() < known->second.highest_fence();
}

bool fleet_state::RecordOwnTable(const service_name& service,
                                 const key_table& table,
                                 const store_version& revision) {
  const std::string key = TableKey(service);
  if (revision <= RevisionOf(key)) {
    return false;
  }
  revisions_.insert_or_assign(key, revision);
  current_.tables.insert_or_assign(service, table);
  return true;
}

void fleet_state::PutEndpoint(const kv_item& item, instant now) {
  result<fleet_endpoint> entry = decoders_.endpoint(item.key, item.value);
  const endpoint_id id(item.key.substr(decoders_.endpoint_prefix.size()));
  lapse_times_.erase(id);
  if (!entry) {
    errors_.push_back(entry.error());
    // An earlier valid entry is no longer in force.
    EraseEndpoint(id);
    return;
  }
  const auto known = current_.endpoints.find(id);
  const bool was_draining =
      known != current_.endpoints.end() && known->second.draining;
  fleet_endpoint& endpoint =
      current_.endpoints.insert_or_assign(id, std::move(entry).value())
          .first->second;
  endpoint.draining = endpoint.draining || leaving_.contains(endpoint.instance);
  endpoint.evacuated = evacuations_.domains().contains(endpoint.domain);
  endpoint.cold_until = now + endpoint.warm_up_remaining;
  if (endpoint.draining && !was_draining) {
    departures_.push_back({id, departure_cause::kDraining});
  }
}

bool fleet_state::RecordLeaving(const endpoint_instance& endpoint,
                                instant now) {
  std::erase_if(leaving_, [&](const auto& entry) {
    return now - entry.second >= kLeavingRecordLifetime &&
           !current_.endpoints.contains(entry.first.endpoint);
  });
  leaving_.emplace(endpoint, now);
  const auto known = current_.endpoints.find(endpoint.endpoint);
  if (known == current_.endpoints.end() || known->second.instance != endpoint ||
      known->second.draining) {
    return false;
  }
  known->second.draining = true;
  departures_.push_back({endpoint.endpoint, departure_cause::kDraining});
  return true;
}

void fleet_state::PutConfig(const kv_item& item) {
  result<route_config> config = decoders_.config(item.value);
  if (!config) {
    errors_.push_back(config.error());
    return;
  }
  if (current_.config &&
      config.value().version() < current_.config->version()) {
    errors_.emplace_back(errc::kConflict, step::kParseConfig, item.key,
                         "the version is older than the one in force");
    return;
  }
  current_.config =
      std::make_shared<const route_config>(std::move(config).value());
}

void fleet_state::PutDaemonState(const kv_item& item) {
  const auto add_problem = [this](const error& problem) {
    errors_.push_back(problem);
  };
  if (item.key.starts_with(kMemberPrefix)) {
    result<fleet_member> member = DecodeMember(item.key, item.value);
    if (!member) {
      add_problem(member.error());
      return;
    }
    const daemon_id id = member.value().instance.id;
    member_lapse_times_.erase(id);
    current_.members.insert_or_assign(id, std::move(member).value());
  } else if (item.key == kCoordinatorKey) {
    const result<daemon_instance> daemon = DecodeDaemon(item.key, item.value);
    if (!daemon) {
      add_problem(daemon.error());
      return;
    }
    current_.coordinator = daemon.value();
  } else if (item.key == kCoordinatorHistoryKey) {
    auto history = DecodeHistory(item.key, item.value);
    if (!history) {
      add_problem(history.error());
      return;
    }
    coordinator_history_ = std::move(history).value();
  }
}

std::optional<domain_name> fleet_state::EvacuatedBy(
    std::string_view key) const {
  const std::string& prefix = decoders_.evacuation_prefix;
  if (prefix.empty() || !key.starts_with(prefix) || key == prefix) {
    return std::nullopt;
  }
  return domain_name(std::string(key.substr(prefix.size())));
}

void fleet_state::BeginEvacuation(const domain_name& domain) {
  if (evacuations_.Begin(domain)) {
    MarkEvacuated(domain, true, instant());
  }
}

void fleet_state::EndEvacuation(const domain_name& domain, instant now) {
  if (evacuations_.End(domain)) {
    MarkEvacuated(domain, false, now);
  }
}

void fleet_state::MarkEvacuated(const domain_name& domain,
                                bool evacuated,
                                instant now) {
  std::size_t count = 0;
  for (auto& [id, endpoint] : current_.endpoints) {
    if (endpoint.domain != domain) {
      continue;
    }
    ++count;
    endpoint.evacuated = evacuated;
    if (!evacuated) {
      endpoint.cold_until =
          std::max(endpoint.cold_until, ColdUntil(endpoint.service, now));
    } else if (!endpoint.draining) {
      departures_.push_back({id, departure_cause::kEvacuated});
    }
  }
  current_.evacuated_domains = evacuations_.domains();
  evacuation_changes_.push_back({domain, evacuated, count});
}

instant fleet_state::ColdUntil(const service_name& service, instant now) const {
  const fleet_service* known =
      current_.config ? current_.config->FindService(service) : nullptr;
  return known == nullptr ? now : now + known->warm_up;
}

void fleet_state::RemoveEndpoint(const endpoint_id& id, instant now) {
  const auto known = current_.endpoints.find(id);
  if (now < removals_delayed_until_ && known != current_.endpoints.end()) {
    known->second.lapsing = true;
    lapse_times_.insert_or_assign(id, removals_delayed_until_);
    departures_.push_back({id, departure_cause::kLapsing});
  } else {
    EraseEndpoint(id);
  }
}

void fleet_state::Remove(const kv_deletion& deletion, instant now) {
  const std::string& key = deletion.key;
  // Only a store that came back from an older copy lacks a key without having
  // reported the deletion in the era of its value.
  const bool is_lost =
      !deletion.is_exact && EraOf(RevisionOf(key)) < EraOf(deletion.revision);
  revisions_.erase(key);
  if (key.starts_with(decoders_.endpoint_prefix)) {
    RemoveEndpoint(endpoint_id(key.substr(decoders_.endpoint_prefix.size())),
                   now);
  } else if (const auto domain = EvacuatedBy(key)) {
    // A store that has lost the request gets it again from the operators.
    if (!deletion.is_exact && now < removals_delayed_until_) {
      evacuations_.EndAt(*domain, removals_delayed_until_);
    } else {
      EndEvacuation(*domain, now);
    }
  } else if (key.starts_with(kMemberPrefix)) {
    const daemon_id id(key.substr(kMemberPrefix.size()));
    if (is_lost && now < removals_delayed_until_) {
      member_lapse_times_.insert_or_assign(id, removals_delayed_until_);
    } else {
      member_lapse_times_.erase(id);
      current_.members.erase(id);
    }
  } else if (key.starts_with(kTablePrefix) && !is_lost) {
    current_.tables.erase(service_name(key.substr(kTablePrefix.size())));
  } else if (key == kCoordinatorKey) {
    current_.coordinator.reset();
  }
}

}  // namespace bluebell
