#include <algorithm>
#include <sstream>
#include <utility>

#include "bluebell/control/internal/control_impl.h"
#include "bluebell/core/overloaded.h"

namespace bluebell {

namespace {

// A daemon reads a table from the store if the proof of its version is older
// than the read interval plus this time for each daemon that ranks before it.
constexpr milliseconds kTableReaderDelayStep{150};
constexpr milliseconds kConfigReadInterval{500};
constexpr seconds kConfigReaderDelayStep{1};
constexpr seconds kHostsReadInterval{2};

// Returns the log fields of an edit.
struct edit_log_fields {
  std::vector<std::pair<std::string, std::string>> operator()(
      const begin_move& edit) const {
    return {{"edit", "begin_move"},
            {"slice", Text(edit.range)},
            {"cause", std::string(ToString(edit.cause))},
            {"to", edit.to ? edit.to->value() : ""}};
  }
  std::vector<std::pair<std::string, std::string>> operator()(
      const assign_slice& edit) const {
    return {{"edit", "assign"},
            {"slice", Text(edit.range)},
            {"owner", Text(edit.owner)},
            {"domain", edit.domain.value()}};
  }
  std::vector<std::pair<std::string, std::string>> operator()(
      const split_slice& edit) const {
    return {{"edit", "split"}, {"slice", Text(edit.range)}};
  }
  std::vector<std::pair<std::string, std::string>> operator()(
      const merge_slices& edit) const {
    return {{"edit", "merge"}, {"slice", Text(edit.left)}};
  }
  std::vector<std::pair<std::string, std::string>> operator()(
      const set_roster& edit) const {
    std::string members;
    for (const daemon_instance& member : edit.members) {
      members += (members.empty() ? "" : " ") + Text(member);
    }
    return {{"edit", "set_roster"},
            {"domain", edit.domain.value()},
            {"members", members}};
  }
  std::vector<std::pair<std::string, std::string>> operator()(
      const clear_former_rosters& edit) const {
    return {{"edit", "clear_former_rosters"}, {"domain", edit.domain.value()}};
  }
  std::vector<std::pair<std::string, std::string>> operator()(
      const declare_lost& edit) const {
    return {{"edit", "declare_lost"}, {"domain", edit.domain.value()}};
  }

  template <typename Value>
  static std::string Text(const Value& value) {
    std::ostringstream text;
    text << value;
    return text.str();
  }
};

}  // namespace

void control_state::impl::operator()(const store_read_done& event) {
  if (event.key == config_.sync().key()) {
    const config_version before = config_.config().version();
    config_.HandleRead(event);
    must_send_heartbeats_ =
        must_send_heartbeats_ || config_.config().version() != before;
    WriteConfig();
    return;
  }
  for (auto& [service, local] : local_tables_) {
    if (local.sync().key() == event.key) {
      HandleTableUpdate(service, local.HandleRead(event, now_));
      ProcessTable(service, local);
    }
  }
}

void control_state::impl::operator()(const store_write_done& event) {
  if (event.key == config_.sync().key()) {
    const config_version before = config_.config().version();
    config_.HandleWrite(event);
    if (config_.sync().in_doubt()) {
      ReadConfig();
    }
    must_send_heartbeats_ =
        must_send_heartbeats_ || config_.config().version() != before;
    WriteConfig();
    return;
  }
  for (auto& [service, local] : local_tables_) {
    if (local.sync().key() == event.key) {
      HandleTableUpdate(service, local.HandleWrite(event, now_));
      ProcessTable(service, local);
    }
  }
}

void control_state::impl::HandleTableUpdate(const service_name& service,
                                            const local_table::update& change) {
  if (!change.parse_error.empty()) {
    Log("unreadable placement table",
        {{"service", service.value()}, {"problem", change.parse_error}});
  }
  if (change.own_write == write_resolution::kApplied) {
    LogEdits(service);
    FinishDeclarations(service);
    table_proposals_.at(service).proposer.RecordWrittenEdits(
        table_proposals_.at(service).written_edits, service);
  }
  if (change.own_write == write_resolution::kApplied ||
      change.own_write == write_resolution::kSuperseded) {
    table_proposals_.at(service).written_edits.clear();
    table_proposals_.at(service).edits_wanted_since.reset();
  }
  if (change.result == adoption::kForked) {
    ReportViolation(
        "one table version, one content",
        "service " + service.value() + " version " +
            std::to_string(
                local_tables_.at(service).table().version().value()));
  }
  if (change.result == adoption::kAdopted) {
    must_send_heartbeats_ = true;
    IndexSlices(service);
    SendLeases();
    Publish();
  }
}

void control_state::impl::LogEdits(const service_name& service) {
  for (const table_edit& edit : table_proposals_.at(service).written_edits) {
    std::vector<std::pair<std::string, std::string>> fields =
        std::visit(edit_log_fields(), edit);
    fields.insert(fields.begin(),
                  {{"service", service.value()},
                   {"version",
                    std::to_string(
                        local_tables_.at(service).table().version().value())}});
    Log("placement changed", std::move(fields));
  }
}

void control_state::impl::FinishDeclarations(const service_name& service) {
  for (const table_edit& edit : table_proposals_.at(service).written_edits) {
    const auto* lost = std::get_if<declare_lost>(&edit);
    if (!lost) {
      continue;
    }
    for (lost_declaration& declared : lost_declarations_) {
      if (declared.command.domain == lost->domain) {
        declared.pending_services.erase(service);
      }
    }
  }
  std::erase_if(lost_declarations_, [&](const lost_declaration& declared) {
    if (declared.pending_services.empty()) {
      actions_.emplace_back(
          answer_operator{declared.token, {200, R"({"declared":true})"}});
    }
    return declared.pending_services.empty();
  });
}

void control_state::impl::ReadStore() {
  for (auto& [service, local] : local_tables_) {
    ReadTable(local);
  }
  const value_sync& config = config_.sync();
  const int rank =
      OwnRank("read/" + config.key(), view_.LiveIn(view_.domain(), now_));
  const duration wait = kConfigReadInterval + rank * kConfigReaderDelayStep;
  if (!config.last_read_at() || now_ - *config.last_read_at() >= wait) {
    ReadConfig();
  }
  ReadHosts();
}

void control_state::impl::ReadTable(local_table& local) {
  const value_sync& sync = local.sync();
  if (sync.reading()) {
    return;
  }
  const timing_settings& timing = settings_.timing;
  const int rank =
      OwnRank("read/" + sync.key(), view_.LiveIn(view_.domain(), now_));
  const duration max_proof_age =
      timing.table_read_interval + rank * kTableReaderDelayStep;
  const auto proven = local.replica().proven_at();
  const bool proof_too_old = !proven || now_ - *proven >= max_proof_age;
  const bool interval_elapsed =
      !sync.last_read_at() ||
      now_ - *sync.last_read_at() >= timing.table_read_interval;
  if (proof_too_old && interval_elapsed) {
    actions_.emplace_back(local.sync().StartRead(now_));
  }
}

void control_state::impl::ReadConfig() {
  if (!config_.sync().reading()) {
    actions_.emplace_back(config_.sync().StartRead(now_));
  }
}

void control_state::impl::WriteConfig() {
  if (auto write = config_.NextWrite(NextChangeId(), now_, wall_now_)) {
    actions_.emplace_back(std::move(*write));
  }
}

void control_state::impl::ReadHosts() {
  const bool due =
      !hosts_read_at_ || now_ - *hosts_read_at_ >= kHostsReadInterval;
  if (due && !hosts_read_in_flight_) {
    hosts_read_in_flight_ = true;
    hosts_read_at_ = now_;
    actions_.emplace_back(read_hosts{});
  }
}

void control_state::impl::ProcessTable(const service_name& service,
                                       local_table& local) {
  table_proposal& proposal = table_proposals_.at(service);
  value_sync& sync = local.sync();
  if (sync.in_doubt()) {
    if (sync.last_answer_at() > sync.write_sent_at()) {
      actions_.emplace_back(sync.Resend(now_));
    } else if (!sync.reading()) {
      actions_.emplace_back(sync.StartRead(now_));
    }
    return;
  }
  if (sync.writing() || local.replica().stale()) {
    return;
  }
  const std::vector<table_edit> edits = WantedEdits(service, local);
  if (edits.empty()) {
    proposal.edits_wanted_since.reset();
    return;
  }
  proposal.edits_wanted_since = proposal.edits_wanted_since.value_or(now_);
  const int rank = OwnRank("propose/" + sync.key(), view_.Live(now_));
  if (now_ - *proposal.edits_wanted_since >=
      rank * settings_.timing.proposer_step) {
    WriteTable(service, local, edits);
  }
}

void control_state::impl::WriteTable(const service_name& service,
                                     local_table& local,
                                     const std::vector<table_edit>& edits) {
  if (!local.can_write()) {
    if (!local.sync().reading()) {
      actions_.emplace_back(local.sync().StartRead(now_));
    }
    return;
  }
  result<write_store> write = local.StartWrite(edits, NextChangeId(), now_);
  if (!write) {
    ReportViolation("proposed edits fit the table", write.error().ToString());
    return;
  }
  table_proposals_.at(service).written_edits = edits;
  actions_.emplace_back(std::move(write.value()));
}

std::vector<table_edit> control_state::impl::WantedEdits(
    const service_name& service,
    local_table& local) {
  std::vector<table_edit> edits;
  for (const lost_declaration& declared : lost_declarations_) {
    if (declared.pending_services.contains(service)) {
      edits.emplace_back(declare_lost{declared.command.domain});
    }
  }
  if (!edits.empty() || leaving_) {
    return edits;
  }
  std::vector<endpoint_info> endpoints;
  for (const endpoint_info& endpoint : endpoints_) {
    if (endpoint.service == service) {
      endpoints.push_back(endpoint);
    }
  }
  const std::set<domain_name> silent = AgreedSilentDomains();
  const policy_values values = config_.config().ValuesFor(
      {service, domain_name(), endpoint_id(), caller_name()});
  const auto& hosts = registry_.hosts();
  const auto listed_endpoints = std::count_if(
      hosts.begin(), hosts.end(),
      [&](const host_entry& host) { return host.service == service; });
  const placement_inputs inputs{
      local,
      view_,
      endpoints,
      silent,
      settings_.timing,
      values,
      static_cast<std::size_t>(listed_endpoints),
      [&](const slice& moved) {
        const auto* state = std::get_if<moving>(&moved.state);
        return state != nullptr && local.spec().checks_epoch &&
               lease_requests_.IsRevoked(
                   state->from, {moved.range, epoch(state->at.value() - 1)});
      },
      now_};
  return table_proposals_.at(service).proposer.Propose(inputs);
}

std::set<domain_name> control_state::impl::AgreedSilentDomains() const {
  std::map<domain_name, std::size_t> votes;
  for (const domain_name& domain : view_.SilentDomains(now_)) {
    ++votes[domain];
  }
  for (const auto& [id, known] : view_.members()) {
    if (view_.IsLive(id, now_)) {
      for (const domain_name& domain : known.silent_domains) {
        ++votes[domain];
      }
    }
  }
  const std::size_t live = view_.Live(now_).size();
  std::set<domain_name> agreed;
  for (const domain_name& domain : view_.SilentDomains(now_)) {
    if (votes[domain] >= MajorityOf(live)) {
      agreed.insert(domain);
    }
  }
  return agreed;
}

int control_state::impl::OwnRank(
    const std::string& role,
    const std::vector<daemon_instance>& candidates) const {
  const std::vector<daemon_instance> ranked = RankForRole(role, candidates);
  const auto found = std::find(ranked.begin(), ranked.end(), self_);
  return static_cast<int>(found - ranked.begin());
}

change_id control_state::impl::NextChangeId() {
  ++changes_made_;
  std::ostringstream name;
  name << self_ << '/' << changes_made_;
  return change_id(name.str());
}

load_report control_state::impl::RegionLoad() const {
  load_report region = own_load_;
  for (const auto& [id, load] : peer_loads_) {
    if (!view_.IsLive(id, now_)) {
      continue;
    }
    region.period = std::max(region.period, load.period);
    region.slices.insert(region.slices.end(), load.slices.begin(),
                         load.slices.end());
    region.hot_keys.insert(region.hot_keys.end(), load.hot_keys.begin(),
                           load.hot_keys.end());
  }
  return region;
}

}  // namespace bluebell
