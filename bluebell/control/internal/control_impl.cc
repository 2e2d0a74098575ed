#include "bluebell/control/internal/control_impl.h"

#include <sstream>
#include <utility>

#include "bluebell/control/operator_views.h"

namespace bluebell {

namespace {

// If the time between two ticks is at least this long, the process was paused.
constexpr milliseconds kPauseThreshold{200};

std::set<domain_name> DomainsOf(const daemon_settings& settings) {
  std::set<domain_name> domains = {settings.domain};
  for (const peer_settings& peer : settings.peers) {
    domains.insert(peer.domain);
  }
  return domains;
}

}  // namespace

control_state::impl::impl(const daemon_settings& settings,
                          incarnation run,
                          std::uint64_t seed,
                          instant now)
    : settings_(settings),
      self_{settings.id, run},
      view_(self_, settings.domain, settings.timing.detection),
      registry_(settings.timing.detection),
      lease_requests_(settings.timing),
      random_(seed),
      now_(now),
      last_tick_(now) {
  for (const peer_settings& peer : settings.peers) {
    view_.LearnFromSettings(peer.id, peer.domain, peer.peer_address);
  }
  for (const service_spec& spec : settings.services) {
    local_tables_.emplace(
        spec.name, local_table(spec, placement_table::Initial(
                                         spec.name, 0, spec.initial_slices,
                                         DomainsOf(settings))));
    // The settings were validated, so the name of the policy is valid.
    const placement_policy policy =
        ParsePlacementPolicy(settings.placement_policy).value();
    table_proposals_.emplace(
        spec.name, table_proposal{placement_proposer(policy, now), {}, {}});
  }
}

std::vector<control_action> control_state::impl::Handle(
    const control_event& event,
    instant now,
    wall_instant wall_now) {
  now_ = now;
  wall_now_ = wall_now;
  std::visit(*this, event);
  if (must_send_heartbeats_) {
    SendHeartbeats();
  }
  for (answer_operator& answer : config_.TakeAnswers()) {
    actions_.emplace_back(std::move(answer));
  }
  return std::exchange(actions_, {});
}

shared_state control_state::impl::MakeSharedState() const {
  shared_state shared;
  if (!config_.text().empty()) {
    shared.config = config_.text();
  }
  for (const auto& [service, local] : local_tables_) {
    if (!local.text().empty()) {
      shared.tables.push_back(local.text());
    }
  }
  shared.hosts = registry_.hosts();
  shared.load = own_load_;
  return shared;
}

void control_state::impl::operator()(const tick& /*event*/) {
  HandlePause();
  last_tick_ = now_;
  ChooseDuties();
  endpoints_ = registry_.KnownEndpoints(view_, config_.config(),
                                        probed_endpoints_, now_);
  SendHeartbeats();
  ReadStore();
  for (auto& [service, local] : local_tables_) {
    ProcessTable(service, local);
  }
  WriteConfig();
  FetchState();
  SendLeases();
  Publish();
}

void control_state::impl::HandlePause() {
  const duration gap = now_ - last_tick_;
  if (gap < kPauseThreshold) {
    return;
  }
  view_.ForgivePause(gap);
  registry_.ForgivePause(gap);
  Log("the control thread was paused",
      {{"pause_ms",
        std::to_string(
            std::chrono::duration_cast<milliseconds>(gap).count())}});
}

void control_state::impl::operator()(const hosts_read_done& event) {
  hosts_read_in_flight_ = false;
  if (!event.hosts) {
    return;
  }
  hosts_known_ = true;
  registry_.SetHosts(event.hosts.value());
  Learn();
}

// Adds the daemons in the list of hosts to the member view, and removes those
// that are neither listed nor in the settings and have been silent for long.
void control_state::impl::Learn() {
  std::set<daemon_id> listed;
  for (const peer_settings& peer : settings_.peers) {
    listed.insert(peer.id);
  }
  for (const host_entry& host : registry_.hosts()) {
    if (host.role == host_role::kDaemon) {
      listed.insert(daemon_id(host.name));
      view_.Learn(daemon_id(host.name), host.domain, host.where);
    }
  }
  view_.Prune(listed, now_);
}

void control_state::impl::operator()(const exchange_observed& event) {
  registry_.RecordExchange(event.instance, event.answered, event.draining,
                           now_);
}

void control_state::impl::operator()(const load_measured& event) {
  own_load_ = event.load;
}

void control_state::impl::operator()(const operator_asked& event) {
  operator_token_ = event.token;
  std::visit(*this, event.command);
}

void control_state::impl::operator()(const stop_requested& /*event*/) {
  leaving_ = true;
  must_send_heartbeats_ = true;
}

void control_state::impl::operator()(const show_status& /*command*/) {
  const snapshot_inputs inputs = SnapshotInputs();
  actions_.emplace_back(answer_operator{
      operator_token_, StatusView(inputs, BuildSnapshot(inputs))});
}

void control_state::impl::operator()(const show_config& /*command*/) {
  actions_.emplace_back(
      answer_operator{operator_token_, ConfigView(config_.config())});
}

void control_state::impl::operator()(const show_placement& /*command*/) {
  actions_.emplace_back(
      answer_operator{operator_token_, PlacementView(SnapshotInputs())});
}

void control_state::impl::operator()(const explain_key& command) {
  const snapshot_inputs inputs = SnapshotInputs();
  actions_.emplace_back(answer_operator{
      operator_token_, ExplainView(inputs, BuildSnapshot(inputs), command)});
}

void control_state::impl::operator()(const change_config& command) {
  config_.EnqueueChange(command.change, operator_token_);
  WriteConfig();
}

void control_state::impl::operator()(const declare_domain_lost& command) {
  constexpr unsigned kBadRequest = 400;
  if (command.reason.empty() || !view_.Domains().contains(command.domain) ||
      local_tables_.empty()) {
    actions_.emplace_back(answer_operator{
        operator_token_,
        {kBadRequest,
         R"({"error":"a known domain and a reason are required"})"}});
    return;
  }
  lost_declaration declared{command, operator_token_, {}};
  for (const auto& [service, local] : local_tables_) {
    declared.pending_services.insert(service);
  }
  lost_declarations_.push_back(std::move(declared));
  Log("failure domain declared lost", {{"domain", command.domain.value()},
                                       {"operator", command.operator_name},
                                       {"reason", command.reason}});
}

snapshot_inputs control_state::impl::SnapshotInputs() const {
  return {settings_, view_, config_.config(), endpoints_, local_tables_, now_};
}

void control_state::impl::Publish() {
  routing_snapshot next = BuildSnapshot(SnapshotInputs());
  if (published_snapshot_ && *published_snapshot_ == next) {
    return;
  }
  published_snapshot_ =
      std::make_shared<const routing_snapshot>(std::move(next));
  actions_.emplace_back(publish_snapshot{published_snapshot_});
}

void control_state::impl::ReportViolation(std::string invariant,
                                          std::string state) {
  actions_.emplace_back(
      report_violation{std::move(invariant), std::move(state)});
}

void control_state::impl::Log(
    std::string message,
    std::vector<std::pair<std::string, std::string>> fields) {
  actions_.emplace_back(log_decision{std::move(message), std::move(fields)});
}

}  // namespace bluebell
