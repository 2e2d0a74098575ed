#include <algorithm>
#include <cstddef>
#include <utility>

#include "bluebell/control/internal/control_impl.h"
#include "bluebell/ownership/renewal_limit.h"

namespace bluebell {

namespace {

// Two daemons renew the leases of an endpoint, so that the loss of one of them
// does not interrupt service.
constexpr std::size_t kProbersPerEndpoint = 2;
// Two daemons ask a former owner to give up a slice.
constexpr int kRevokersPerTable = 2;
// How often unchanged endpoint conditions are sent again.
constexpr seconds kConditionsRepeatInterval{1};
constexpr milliseconds kFetchTimeout{300};
constexpr seconds kLoadFetchInterval{3};
// The heartbeat interval to other failure domains, as a multiple of the
// interval within the domain.
constexpr int kCrossDomainIntervalFactor = 2;
// How often ChooseDuties runs. It computes several hashes for each endpoint of
// the domain.
constexpr milliseconds kDutyUpdateInterval{100};

// Whether `from` may be the instance that is running now, given the observed
// instance `observed`. The run of `observed` is zero if it is not known.
bool IsRunOf(const endpoint_instance& from, const endpoint_instance& observed) {
  return from == observed ||
         (from.endpoint == observed.endpoint && observed.run == incarnation());
}

}  // namespace

void control_state::impl::SendHeartbeats() {
  std::vector<endpoint_status> probed =
      registry_.ProbedStatuses(probed_endpoints_, now_);
  const bool changed = probed != announced_statuses_;
  const bool repeat_due =
      !statuses_announced_at_ ||
      now_ - *statuses_announced_at_ >= kConditionsRepeatInterval;
  if (changed || repeat_due) {
    announced_statuses_ = std::move(probed);
    statuses_announced_at_ = now_;
  }
  const bool with_endpoints = changed || repeat_due;
  const bool at_once =
      std::exchange(must_send_heartbeats_, false) || with_endpoints;
  const heartbeat message = MakeHeartbeat(with_endpoints);
  std::vector<daemon_id> due;
  for (const auto& [id, known] : view_.members()) {
    const bool same_domain = known.domain == view_.domain();
    const duration interval = settings_.timing.heartbeat_interval *
                              (same_domain ? 1 : kCrossDomainIntervalFactor);
    if (at_once || now_ - known.last_sent >= interval) {
      due.push_back(id);
    }
  }
  for (const daemon_id& id : due) {
    SendHeartbeat(id, message);
  }
}

heartbeat control_state::impl::MakeHeartbeat(bool with_endpoints) const {
  heartbeat message;
  message.sender = self_.id;
  message.run = self_.run;
  message.domain = view_.domain();
  message.peer_address = settings_.peer_listen;
  message.admin_address = settings_.admin_listen;
  message.leaving = leaving_;
  message.config = config_.config().version();
  for (const auto& [service, local] : local_tables_) {
    table_status status{service, local.table().shard(), local.table().version(),
                        -1};
    if (const auto proven = local.replica().proven_at()) {
      const duration age = std::max(duration(0), now_ - *proven);
      status.proof_age_us = std::chrono::ceil<microseconds>(age).count();
    }
    message.tables.push_back(std::move(status));
  }
  if (with_endpoints) {
    message.endpoints = announced_statuses_;
  }
  const std::set<domain_name> silent = view_.SilentDomains(now_);
  message.silent_domains.assign(silent.begin(), silent.end());
  return message;
}

void control_state::impl::SendHeartbeat(const daemon_id& to,
                                        const heartbeat& message) {
  heartbeat addressed = message;
  view_.SetPingFields(to, addressed, now_);
  actions_.emplace_back(send_heartbeat{view_.members().at(to).peer_address,
                                       std::move(addressed)});
}

void control_state::impl::operator()(const heartbeat_received& event) {
  const heartbeat& message = event.message;
  const auto receipt = view_.Receive(message, now_);
  if (!receipt) {
    return;
  }
  config_.ObserveVersion(message.config);
  bool behind = config_.stale();
  for (const table_status& status : message.tables) {
    const auto local = local_tables_.find(status.service);
    if (local == local_tables_.end()) {
      continue;
    }
    std::optional<duration> proof_age;
    if (status.proof_age_us >= 0) {
      proof_age = microseconds(status.proof_age_us);
    }
    if (message.leaving) {
      local->second.peers().Retire(receipt->sender, now_);
    }
    local->second.HandlePeerStatus(receipt->sender, status.version, proof_age,
                                   now_, receipt->pinged_at);
    behind = behind || local->second.replica().stale();
  }
  if (behind && !fetch_sent_at_) {
    fetch_sent_at_ = now_;
    actions_.emplace_back(fetch_state{
        message.sender, view_.members().at(message.sender).peer_address});
  }
}

void control_state::impl::FetchState() {
  if (fetch_sent_at_ && now_ - *fetch_sent_at_ >= kFetchTimeout) {
    fetch_sent_at_.reset();
  }
  const bool load_due =
      !load_fetched_at_ || now_ - *load_fetched_at_ >= kLoadFetchInterval;
  bool proposes = false;
  for (const auto& [service, local] : local_tables_) {
    proposes = proposes ||
               OwnRank("propose/" + local.sync().key(), view_.Live(now_)) == 0;
  }
  if (load_due && proposes) {
    load_fetched_at_ = now_;
    const load_report region = RegionLoad();
    for (auto& [service, proposal] : table_proposals_) {
      proposal.proposer.AddLoad(region);
    }
    for (const auto& [id, known] : view_.members()) {
      if (view_.IsLive(id, now_)) {
        actions_.emplace_back(fetch_state{id, known.peer_address});
      }
    }
  }
  bool behind = config_.stale();
  for (const auto& [service, local] : local_tables_) {
    behind = behind || local.replica().stale();
  }
  const std::vector<daemon_instance> live = view_.Live(now_);
  if (!behind || fetch_sent_at_ || live.size() < 2) {
    return;
  }
  const daemon_instance& chosen = live[random_() % live.size()];
  const auto peer = view_.members().find(chosen.id);
  if (peer != view_.members().end()) {
    fetch_sent_at_ = now_;
    actions_.emplace_back(fetch_state{chosen.id, peer->second.peer_address});
  }
}

void control_state::impl::operator()(const peer_state_received& event) {
  fetch_sent_at_.reset();
  peer_loads_[event.peer] = event.load;
  if (event.config && config_.AdoptIfNewer(*event.config)) {
    must_send_heartbeats_ = true;
  }
  for (const std::string& text : event.tables) {
    for (auto& [service, local] : local_tables_) {
      HandleTableUpdate(service, local.HandlePeerTable(text, now_));
    }
  }
  if (!hosts_known_ && !event.hosts.empty()) {
    registry_.SetHosts(event.hosts);
    Learn();
  }
}

bool control_state::impl::IsProber(const host_entry& host) const {
  if (host.role != host_role::kEndpoint || host.domain != view_.domain()) {
    return false;
  }
  std::vector<daemon_instance> live = view_.LiveIn(view_.domain(), now_);
  const auto local = local_tables_.find(host.service);
  if (local != local_tables_.end()) {
    // Only members of the roster may renew leases. If none is live, other live
    // daemons of the domain probe the endpoint.
    std::vector<daemon_instance> members = live;
    std::erase_if(members, [&](const daemon_instance& candidate) {
      return !local->second.table().IsRosterMember(view_.domain(), candidate);
    });
    if (!members.empty()) {
      live = std::move(members);
    }
  }
  live = RankForRole("probe/" + host.name, std::move(live));
  live.resize(std::min(live.size(), kProbersPerEndpoint));
  return std::find(live.begin(), live.end(), self_) != live.end();
}

void control_state::impl::ChooseDuties() {
  if (duties_chosen_at_ && now_ - *duties_chosen_at_ < kDutyUpdateInterval) {
    return;
  }
  duties_chosen_at_ = now_;
  probed_endpoints_.clear();
  for (const host_entry& host : registry_.hosts()) {
    if (IsProber(host)) {
      probed_endpoints_.insert(endpoint_id(host.name));
    }
  }
  revoking_services_.clear();
  for (const auto& [service, local] : local_tables_) {
    if (IsRevoker(local)) {
      revoking_services_.insert(service);
    }
  }
}

bool control_state::impl::IsRevoker(const local_table& local) const {
  if (!local.spec().checks_epoch) {
    return false;
  }
  const std::string role = "propose/" + local.sync().key();
  return OwnRank(role, view_.Live(now_)) < kRevokersPerTable;
}

void control_state::impl::IndexSlices(const service_name& service) {
  auto& by_endpoint = slices_by_endpoint_[service];
  by_endpoint.clear();
  for (const slice& current : local_tables_.at(service).table().slices()) {
    if (const auto* ownership = std::get_if<owned>(&current.state)) {
      by_endpoint[ownership->owner.endpoint].push_back(current);
    } else if (const auto* moving_state = std::get_if<moving>(&current.state)) {
      by_endpoint[moving_state->from.endpoint].push_back(current);
    }
  }
}

const std::vector<slice>& control_state::impl::SlicesOf(
    const host_entry& host) const {
  static const std::vector<slice> none;
  const auto service = slices_by_endpoint_.find(host.service);
  if (service == slices_by_endpoint_.end()) {
    return none;
  }
  const auto found = service->second.find(endpoint_id(host.name));
  return found == service->second.end() ? none : found->second;
}

wanted_leases control_state::impl::WantedLeases(const host_entry& host,
                                                bool may_renew) const {
  wanted_leases wanted;
  wanted.to.endpoint = endpoint_id(host.name);
  wanted.to.run =
      registry_.ObservedRun(wanted.to.endpoint).value_or(incarnation());
  wanted.where = host.where;
  const bool is_revoker = revoking_services_.contains(host.service);
  for (const slice& current : SlicesOf(host)) {
    const auto* ownership = std::get_if<owned>(&current.state);
    const auto* moving_state = std::get_if<moving>(&current.state);
    if (ownership && may_renew && ownership->owner == wanted.to) {
      wanted.granted.push_back({current.range, ownership->at});
    } else if (moving_state && is_revoker &&
               IsRunOf(moving_state->from, wanted.to)) {
      wanted.to = moving_state->from;
      wanted.revoked.push_back(
          {current.range, epoch(moving_state->at.value() - 1)});
    }
  }
  return wanted;
}

void control_state::impl::SendLeases() {
  std::map<service_name, instant> renewable;
  for (const auto& [service, local] : local_tables_) {
    if (local.spec().checks_epoch && !leaving_) {
      renewable[service] = RenewalLimit(local.replica(), local.peers(), self_,
                                        view_.domain(), settings_.timing, now_)
                               .until;
    }
  }
  for (const host_entry& host : registry_.hosts()) {
    if (host.role == host_role::kEndpoint) {
      const auto limit = renewable.find(host.service);
      SendLease(host,
                limit == renewable.end() ? instant::min() : limit->second);
    }
  }
}

void control_state::impl::SendLease(const host_entry& host,
                                    instant renewable_until) {
  const endpoint_id id(host.name);
  const bool is_prober = probed_endpoints_.contains(id);
  lease_basis basis;
  basis.may_renew = is_prober && now_ < renewable_until;
  if (revoking_services_.contains(host.service)) {
    for (const slice& current : SlicesOf(host)) {
      basis.has_revocations = basis.has_revocations ||
                              std::holds_alternative<moving>(current.state);
    }
  }
  const auto local = local_tables_.find(host.service);
  if (local != local_tables_.end()) {
    basis.version = local->second.table().version();
  }
  if ((!is_prober && !basis.has_revocations) ||
      !lease_requests_.IsDue(id, basis, now_)) {
    return;
  }
  actions_.emplace_back(lease_requests_.StartRequest(
      WantedLeases(host, basis.may_renew), basis, now_));
}

void control_state::impl::operator()(const lease_request_done& event) {
  lease_requests_.FinishRequest(event.endpoint,
                                event.reply ? &event.reply.value() : nullptr);
  if (!event.reply) {
    registry_.RecordFailure(event.endpoint, event.sent_at);
    return;
  }
  const lease_reply& reply = event.reply.value();
  const bool new_run = registry_.ObservedRun(event.endpoint) != reply.from.run;
  registry_.RecordReply(event.endpoint, reply, now_);
  if (!reply.revoked.empty()) {
    for (auto& [service, local] : local_tables_) {
      ProcessTable(service, local);
    }
  }
  if (new_run) {
    SendLeases();
  }
}

}  // namespace bluebell
