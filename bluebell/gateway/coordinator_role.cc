#include "bluebell/gateway/coordinator_role.h"

#include <algorithm>
#include <tuple>
#include <utility>
#include <variant>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "bluebell/core/boot_clock.h"
#include "bluebell/fleet/store_keys.h"
#include "bluebell/gateway/store_watcher.h"
#include "bluebell/http/http_client.h"
#include "bluebell/kv/kv_client.h"
#include "bluebell/net/task.h"
#include "bluebell/proxy/traffic_server.h"
#include "bluebell/telemetry/log_event.h"

namespace bluebell {

namespace {

namespace asio = boost::asio;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

constexpr milliseconds kCoordinatorTickInterval{50};
constexpr milliseconds kCandidateTickInterval{100};
constexpr milliseconds kLeaseRenewalInterval{350};
// The daemon of rank k waits k times this long before it claims the role, so
// that the daemons don't all claim at once.
constexpr milliseconds kClaimDelayPerRank{150};
constexpr milliseconds kClaimMessageInterval{100};
constexpr milliseconds kLoadRequestInterval{250};
constexpr milliseconds kHandOverRetryInterval{200};
constexpr milliseconds kSilenceRetryInterval{200};
// A daemon that has resigned because it reaches too few endpoints doesn't claim
// the role again for this time, so that another daemon can take it.
constexpr milliseconds kCandidacyPauseAfterResign{10'000};

// A key table in the store.
struct stored_table {
  key_table table;
  store_version revision;
};

// No value if a table can't be decoded.
std::optional<std::map<service_name, stored_table>> DecodeTables(
    const std::vector<kv_item>& items) {
  std::map<service_name, stored_table> tables;
  for (const kv_item& item : items) {
    result<key_table> table = key_table::FromJson(item.value);
    if (!table) {
      log_event(log_level::kError, "key table can't be decoded")
          .With(table.error())
          .Write();
      return std::nullopt;
    }
    tables.insert_or_assign(
        service_name(item.key.substr(kTablePrefix.size())),
        stored_table{std::move(table).value(), item.revision});
  }
  return tables;
}

std::map<service_name, key_table> TablesOf(
    const std::map<service_name, stored_table>& stored) {
  std::map<service_name, key_table> tables;
  for (const auto& [service, each] : stored) {
    tables.emplace(service, each.table);
  }
  return tables;
}

}  // namespace

coordinator_role::coordinator_role(asio::io_context& io,
                                   const key_timing& timing,
                                   daemon_instance self,
                                   bool is_first_start,
                                   kv_client& store,
                                   store_watcher& watcher,
                                   traffic_server& traffic)
    : io_(io),
      timing_(timing),
      self_(std::move(self)),
      is_first_start_(is_first_start),
      store_(store),
      watcher_(watcher),
      traffic_(traffic),
      tick_(io),
      authority_(timing),
      lease_(self_, store, watcher),
      succession_(timing) {}

coordinator_role::~coordinator_role() = default;

void coordinator_role::Start() {
  ScheduleTick();
}

void coordinator_role::ScheduleTick() {
  tick_.expires_after(authority_.has_role() ? kCoordinatorTickInterval
                                            : kCandidateTickInterval);
  tick_.async_wait([this](boost::system::error_code cancelled) {
    if (!cancelled) {
      Tick(BootNow());
      ScheduleTick();
    }
  });
}

void coordinator_role::OnView(const fleet_view& view) {
  view_ = view;
  const instant now = BootNow();
  if (authority_.has_role() && view_->coordinator &&
      *view_->coordinator != self_ &&
      EraOf(watcher_.state().RevisionOf(kCoordinatorKey)) ==
          EraOf(lease_.revision()) &&
      watcher_.state().RevisionOf(kCoordinatorKey) > lease_.revision()) {
    StopCoordinating("another daemon is the coordinator");
  }
  if (authority_.has_role()) {
    SyncServices(now);
    TickAsCoordinator(now);
  }
}

bool coordinator_role::HasKeyedService() const {
  if (!view_ || !view_->config) {
    return false;
  }
  const auto& services = view_->config->services();
  return std::any_of(
      services.begin(), services.end(),
      [](const fleet_service& service) { return service.keyed; });
}

bool coordinator_role::IsAnnounced() const {
  // While the entry names an earlier run, other daemons would conclude that
  // this process has ended.
  const auto own = view_->members.find(self_.id);
  return own != view_->members.end() && own->second.instance == self_;
}

std::size_t coordinator_role::ClaimRank() const {
  const auto own = view_->members.find(self_.id);
  const auto sort_key = [](const fleet_member& member) {
    return std::tuple(member.leaving, ~member.cpu_millis,
                      member.instance.run.value());
  };
  return static_cast<std::size_t>(std::count_if(
      view_->members.begin(), view_->members.end(), [&](const auto& entry) {
        return sort_key(entry.second) < sort_key(own->second);
      }));
}

std::vector<service_name> coordinator_role::KeyedServices() const {
  std::vector<service_name> names;
  if (view_ && view_->config) {
    for (const fleet_service& service : view_->config->services()) {
      if (service.keyed) {
        names.push_back(service.name);
      }
    }
  }
  return names;
}

bool coordinator_role::IsSettled(
    const std::map<service_name, key_table>& tables,
    const store_era& era) const {
  // At the first start of the whole system nothing can have been lost.
  const bool is_first_table =
      is_first_start_ && tables.empty() && era == store_.first_era();
  return is_first_table || AreSettled(tables, KeyedServices(), era);
}

void coordinator_role::ObserveEra(instant now) {
  const bool knows_owners = authority_.has_role() && !leaving_ &&
                            !silent_until_ &&
                            now < authority_.EndOf(lease_.proven_at());
  const era_verdict verdict =
      succession_.OnEra(store_.era(), knows_owners, now);
  if (verdict == era_verdict::kStops && authority_.has_role() && !leaving_ &&
      asserted_era_ < store_.era()) {
    StopCoordinating("the store has lost the claim");
  }
}

void coordinator_role::Tick(instant now) {
  ObserveEra(now);
  if (authority_.has_role()) {
    TickAsCoordinator(now);
  } else {
    TickAsCandidate(now);
  }
}

void coordinator_role::TickAsCandidate(instant now) {
  const bool may_claim =
      !leaving_ && !claim_in_flight_ && HasKeyedService() && IsAnnounced() &&
      now >= resigned_until_ && watcher_.store_is_available() &&
      watcher_.read_era() == store_.era() && lease_.view_is_recent();
  if (!may_claim) {
    vacant_since_.reset();
    return;
  }
  const role_snapshot role = RoleIn(watcher_.state());
  if (!MayBeClaimed(role, self_)) {
    vacant_since_.reset();
    return;
  }
  if (!succession_.MayClaim(IsSettled(view_->tables, store_.era()), now)) {
    vacant_since_.reset();
    return;
  }
  if (!vacant_since_) {
    vacant_since_ = now;
  }
  const bool is_own_earlier_run = role.coordinator.has_value();
  if (is_own_earlier_run ||
      now - *vacant_since_ >=
          kClaimDelayPerRank * static_cast<int>(ClaimRank())) {
    claim_in_flight_ = true;
    SpawnTask(io_.get_executor(), "coordinator claim", ClaimOnce(),
              [this] { claim_in_flight_ = false; });
  }
}

asio::awaitable<void> coordinator_role::ClaimOnce() {
  co_await Claim();
  claim_in_flight_ = false;
}

asio::awaitable<void> coordinator_role::Claim() {
  const store_era era = store_.era();
  bool history_is_lost = false;
  if (era != store_era()) {
    const std::optional<bool> settled = co_await ReadIsSettled();
    if (!settled) {
      vacant_since_.reset();
      co_return;
    }
    history_is_lost = !*settled;
  }
  // Another daemon may have claimed the role during the wait.
  const role_snapshot role = RoleIn(watcher_.state());
  const bool may_claim = MayBeClaimed(role, self_) && store_.era() == era;
  former_coordinators_ = former_coordinators::FromHistory(
      role.history, role.versions.history, self_);
  log_event(log_level::kInfo, may_claim ? "coordinator role is vacant"
                                        : "coordinator role isn't vacant")
      .With("coordinator_revision", role.versions.coordinator)
      .With("history_revision", role.versions.history)
      .With("former", IdsOf(former_coordinators_.pending()))
      .With("era", store_.era())
      .Write();
  if (!may_claim) {
    vacant_since_.reset();
    co_return;
  }
  if (history_is_lost) {
    former_coordinators_.AddLostHistory(era);
  }
  const claim_outcome outcome =
      co_await lease_.Claim(role.versions, former_coordinators_.pending());
  if (outcome != claim_outcome::kClaimed) {
    vacant_since_.reset();
    co_return;
  }
  former_coordinators_.SetAuthorityUntil(BootNow() + timing_.authority_duration,
                                         timing_.MaxGrantLifetime());
  silent_until_.reset();
  const bool tables_loaded = co_await TakeOver();
  if (leaving_) {
    co_await lease_.End();
    co_return;
  }
  // This daemon may have yielded to a later claim in the meantime.
  if (!tables_loaded || lease_.revision() <= last_yielded_claim_ ||
      EraOf(lease_.revision()) != store_.era()) {
    vacant_since_.reset();
    co_return;
  }
  authority_.OnClaimed();
  asserted_era_ = store_.era();
  watcher_.SetDuty(watch_duty::kCoordinator);
  log_event(log_level::kInfo, "coordinates keys")
      .With("revision", lease_.revision())
      .With("former", IdsOf(former_coordinators_.pending()))
      .With("era", store_.era())
      .With("silent_ms", silent_until_
                             ? std::chrono::duration_cast<milliseconds>(
                                   *silent_until_ - BootNow())
                                   .count()
                             : 0)
      .Write();
  // Without renewals the lease expires, so the role must end with them.
  SpawnTask(io_.get_executor(), "coordinator lease", KeepLease(),
            [this, term = authority_.term()] {
              if (term == authority_.term()) {
                StopCoordinating("unexpected error while renewing the lease");
              }
            });
}

asio::awaitable<bool> coordinator_role::TakeOver() {
  // The tables are read after the claim, because a former coordinator can't
  // write them any more from then on.
  const result<kv_listing> tables =
      co_await store_.List(std::string(kTablePrefix));
  if (!tables) {
    watcher_.ReportFailure(tables.error(), BootNow());
    co_return false;
  }
  const instant now = BootNow();
  const std::optional<instant> former_until =
      former_coordinators_.all_excluded() ? std::optional(now) : std::nullopt;
  next_claim_message_ = now;
  services_.clear();
  const std::optional<std::map<service_name, stored_table>> stored =
      DecodeTables(tables.value().items);
  if (!stored) {
    co_return false;
  }
  if (!IsSettled(TablesOf(*stored), EraOf(lease_.revision()))) {
    silent_until_ = succession_.SilentUntil(now);
    co_return true;
  }
  for (const auto& [service, table] : *stored) {
    auto coordinated = std::make_unique<coordinated_service>(timing_);
    coordinated->keys.TakeOver(table.table, table.revision, former_until, now);
    if (former_coordinators_.has_lost_history()) {
      coordinated->keys.OnHistoryLost();
    }
    services_.insert_or_assign(service, std::move(coordinated));
  }
  SyncServices(now);
  co_return true;
}

void coordinator_role::SyncServices(instant now) {
  if (!view_ || !view_->config || silent_until_) {
    return;
  }
  for (const fleet_service& service : view_->config->services()) {
    if (!service.keyed) {
      continue;
    }
    std::unique_ptr<coordinated_service>& coordinated = services_[service.name];
    if (!coordinated) {
      coordinated = std::make_unique<coordinated_service>(timing_);
      const bool history_lost = former_coordinators_.has_lost_history();
      coordinated->keys.TakeOver(
          key_table().InEra(EraOf(lease_.revision())), store_version(),
          history_lost ? std::nullopt : std::optional(now), now);
      if (history_lost) {
        coordinated->keys.OnHistoryLost();
      }
    }
    coordinated->keys.SetEndpoints(view_->EndpointsOf(service.name));
  }
}

asio::awaitable<void> coordinator_role::KeepLease() {
  const std::uint64_t term = authority_.term();
  asio::steady_timer timer(io_);
  while (authority_.term() == term) {
    timer.expires_after(kLeaseRenewalInterval);
    co_await timer.async_wait(kAwait);
    if (authority_.term() != term || leaving_) {
      break;
    }
    const bool must_reclaim = asserted_era_ != store_.era();
    claim_outcome outcome = claim_outcome::kUnknown;
    if (must_reclaim) {
      outcome = co_await ReclaimInEra();
    } else {
      outcome = co_await lease_.Renew(former_coordinators_.pending());
    }
    if (authority_.term() != term) {
      break;
    }
    if (outcome == claim_outcome::kLost) {
      StopCoordinating(
          "another daemon has claimed the role since the last renewal");
    } else if (former_coordinators_.all_excluded()) {
      co_await lease_.TrimHistory();
    }
  }
}

asio::awaitable<claim_outcome> coordinator_role::ReclaimInEra() {
  const std::uint64_t term = authority_.term();
  const result<kv_listing> role =
      co_await store_.List(std::string(kCoordinatorKey));
  if (!role) {
    watcher_.ReportFailure(role.error(), BootNow());
    co_return claim_outcome::kUnknown;
  }
  const store_era era = EraOf(role.value().revision);
  std::vector<coordinator_record> history;
  for (const kv_item& item : role.value().items) {
    if (item.key == kCoordinatorHistoryKey) {
      auto decoded = DecodeHistory(item.key, item.value);
      if (decoded) {
        history = std::move(decoded).value();
      }
    }
  }
  ObserveEra(BootNow());
  if (authority_.term() != term || leaving_) {
    co_return claim_outcome::kUnknown;
  }
  if (IsClaimedByOther(history, self_, era)) {
    co_return claim_outcome::kLost;
  }
  former_coordinators formers = former_coordinators_;
  formers.AddLostHistory(era);
  const claim_outcome outcome = co_await lease_.Reclaim(
      FindRoleVersions(role.value().items), formers.pending());
  if (authority_.term() != term || outcome != claim_outcome::kClaimed) {
    // The next attempt reads which daemon has claimed the role.
    co_return claim_outcome::kUnknown;
  }
  const result<kv_listing> tables =
      co_await store_.List(std::string(kTablePrefix));
  const auto stored =
      tables ? DecodeTables(tables.value().items) : std::nullopt;
  if (authority_.term() != term) {
    co_return claim_outcome::kUnknown;
  }
  const instant now = BootNow();
  const bool is_current = tables && EraOf(tables.value().revision) == era &&
                          EraOf(lease_.revision()) == era;
  if (!stored || !is_current) {
    // Without the revisions of the tables this daemon can't write its own. The
    // next attempt claims the role again.
    co_return claim_outcome::kUnknown;
  }
  for (const auto& [service, table] : *stored) {
    if (table.table.era() >= era) {
      co_return claim_outcome::kLost;
    }
  }
  former_coordinators_ = std::move(formers);
  former_coordinators_.SetAuthorityUntil(now + timing_.authority_duration,
                                         timing_.MaxGrantLifetime());
  asserted_era_ = era;
  next_claim_message_ = now;
  CancelReleases();
  for (auto& [service, coordinated] : services_) {
    const auto copied = stored->find(service);
    // The response to a write of the earlier era is ignored.
    coordinated->write_in_flight = false;
    coordinated->keys.Reassert(
        era,
        copied == stored->end() ? store_version() : copied->second.revision,
        now);
  }
  log_event(log_level::kWarn, "coordinates keys again in a new store era")
      .With("era", era)
      .With("revision", lease_.revision())
      .With("former", IdsOf(former_coordinators_.pending()))
      .Write();
  TickAsCoordinator(now);
  co_return claim_outcome::kClaimed;
}

asio::awaitable<std::optional<bool>> coordinator_role::ReadIsSettled() {
  const result<kv_listing> tables =
      co_await store_.List(std::string(kTablePrefix));
  if (!tables) {
    watcher_.ReportFailure(tables.error(), BootNow());
    co_return std::nullopt;
  }
  const auto stored = DecodeTables(tables.value().items);
  if (!stored) {
    co_return std::nullopt;
  }
  co_return IsSettled(TablesOf(*stored), EraOf(tables.value().revision));
}

asio::awaitable<void> coordinator_role::EndSilence(std::uint64_t term) {
  const result<kv_listing> tables =
      co_await store_.List(std::string(kTablePrefix));
  ending_silence_ = false;
  const store_era era = EraOf(lease_.revision());
  if (authority_.term() != term || !silent_until_ || era != store_.era()) {
    co_return;
  }
  const instant now = BootNow();
  const auto stored =
      tables ? DecodeTables(tables.value().items) : std::nullopt;
  if (!stored) {
    silent_until_ = now + kSilenceRetryInterval;
    co_return;
  }
  silent_until_.reset();
  for (const auto& [service, table] : *stored) {
    auto coordinated = std::make_unique<coordinated_service>(timing_);
    if (table.table.era() < era) {
      coordinated->keys.TakeOverCopy(table.table, era, table.revision, now,
                                     now);
    } else {
      coordinated->keys.TakeOver(table.table, table.revision, now, now);
    }
    services_.insert_or_assign(service, std::move(coordinated));
  }
  log_event(log_level::kInfo, "all grants of the lost history have ended")
      .With("era", era)
      .Write();
  SyncServices(now);
  TickAsCoordinator(now);
}

void coordinator_role::StopCoordinating(const std::string& reason) {
  authority_.OnStopped();
  silent_until_.reset();
  CancelReleases();
  for (const auto& [service, coordinated] : services_) {
    traffic_.SetUnservedRanges(service, {});
  }
  services_.clear();
  vacant_since_.reset();
  log_event(log_level::kInfo, "stops coordinating keys")
      .With("reason", reason)
      .Write();
}

void coordinator_role::Leave() {
  leaving_ = true;
  authority_.OnLeaving();
  if (authority_.has_role()) {
    for (const auto& [service, coordinated] : services_) {
      coordinated->keys.OnHandingOver();
    }
    SpawnTask(io_.get_executor(), "coordinator hand-over", HandOver());
  }
}

asio::awaitable<void> coordinator_role::HandOver() {
  asio::steady_timer timer(io_);
  while (authority_.has_role() && !co_await lease_.End()) {
    timer.expires_after(kHandOverRetryInterval);
    co_await timer.async_wait(kAwait);
  }
  if (authority_.has_role()) {
    StopCoordinating("the daemon is leaving");
    co_await lease_.Withdraw(former_coordinators_.pending());
  }
}

void coordinator_role::OnClaim(const address& from,
                               const coordinator_claim& claim) {
  const store_version claimed(claim.revision);
  if (authority_.has_role() && claimed <= lease_.revision()) {
    return;
  }
  if (authority_.has_role()) {
    StopCoordinating("another daemon has claimed the role");
  }
  last_yielded_claim_ = std::max(last_yielded_claim_, claimed);
  traffic_.SendPeer(from, coordinator_yield{claim.revision, self_});
}

void coordinator_role::OnYield(const coordinator_yield& yield) {
  if (!authority_.has_role() ||
      store_version(yield.revision) != lease_.revision()) {
    return;
  }
  if (const auto exclusion = former_coordinators_.OnYield(yield.yielded)) {
    OnExcluded(*exclusion, BootNow());
  }
}

former_coordinators::announced_map coordinator_role::AnnouncedFormers() const {
  former_coordinators::announced_map announced;
  for (const coordinator_record& former : former_coordinators_.pending()) {
    const daemon_id& id = former.daemon.id;
    const auto member = view_->members.find(id);
    if (member != view_->members.end()) {
      announced[id] = {member->second.instance.run,
                       watcher_.state().RevisionOf(MemberKey(id))};
    }
  }
  return announced;
}

void coordinator_role::OnExcluded(const coordinator_exclusion& exclusion,
                                  instant now) {
  log_event(log_level::kInfo, "former coordinator is excluded")
      .With("former", exclusion.daemon.id)
      .With("reason", std::string(ToText(exclusion.reason)))
      .Write();
  if (former_coordinators_.all_excluded()) {
    // The record of a lost history is excluded when the grants of its
    // coordinators have ended, not when their authority has.
    const instant stopped_by =
        exclusion.reason == exclusion_reason::kHistoryEnded
            ? former_coordinators_.authority_until()
            : now;
    for (auto& [service, coordinated] : services_) {
      coordinated->keys.OnFormerStopped(stopped_by);
    }
  }
}

void coordinator_role::ExcludeFormerCoordinators(instant now) {
  for (const coordinator_exclusion& exclusion :
       former_coordinators_.Advance(AnnouncedFormers(), now)) {
    OnExcluded(exclusion, now);
  }
  if (former_coordinators_.all_excluded() || now < next_claim_message_) {
    return;
  }
  next_claim_message_ = now + kClaimMessageInterval;
  for (const coordinator_record& former : former_coordinators_.pending()) {
    const auto member = view_->members.find(former.daemon.id);
    if (member != view_->members.end()) {
      traffic_.SendPeer(member->second.peer,
                        coordinator_claim{lease_.revision().value()});
    }
  }
}

void coordinator_role::TickAsCoordinator(instant now) {
  ExcludeFormerCoordinators(now);
  if (silent_until_) {
    if (now >= *silent_until_ && !ending_silence_) {
      ending_silence_ = true;
      SpawnTask(io_.get_executor(), "end of silence",
                EndSilence(authority_.term()),
                [this] { ending_silence_ = false; });
    }
    return;
  }
  const instant authority_until = authority_.EndOf(lease_.proven_at());
  if (authority_until <= now) {
    CancelReleases();
  }
  for (auto& [service, coordinated] : services_) {
    Measure(service, *coordinated, now);
    const bool may_write =
        MaySend(order_kind::kTableWrite, authority_.term()) &&
        asserted_era_ == store_.era() && !coordinated->write_in_flight &&
        now >= coordinated->next_write && watcher_.store_is_available();
    const auto actions =
        coordinated->keys.Advance(authority_until, may_write, now);
    Execute(service, actions);
    if (!authority_.has_role()) {
      return;
    }
    ReportUnservedRanges(service, *coordinated);
  }
}

void coordinator_role::ReportUnservedRanges(const service_name& service,
                                            coordinated_service& coordinated) {
  std::vector<unserved_range> unserved = coordinated.keys.UnservedRanges();
  if (unserved != coordinated.unserved) {
    coordinated.unserved = std::move(unserved);
    traffic_.SetUnservedRanges(service, coordinated.unserved);
  }
}

void coordinator_role::Measure(const service_name& service,
                               coordinated_service& coordinated,
                               instant now) {
  if (now < coordinated.next_load_request) {
    return;
  }
  coordinated.next_load_request = now + kLoadRequestInterval;
  traffic_.Measure(service, [this](measured_load load) {
    asio::post(io_, [this, load = std::move(load)] {
      if (coordinated_service* found = FindService(load.service)) {
        found->keys.SetLoads(load.keys, load.capacities);
      }
    });
  });
}

coordinator_role::coordinated_service* coordinator_role::FindService(
    const service_name& service) {
  const auto found = services_.find(service);
  return found == services_.end() ? nullptr : found->second.get();
}

void coordinator_role::Resign() {
  if (!watcher_.store_is_available()) {
    // Other daemons couldn't learn of the resignation. The endpoints that are
    // reached keep their keys until the authority ends, and the lease expires.
    return;
  }
  resigned_until_ = BootNow() + kCandidacyPauseAfterResign;
  StopCoordinating("most owners of keys can't be reached");
  SpawnTask(io_.get_executor(), "coordinator resignation",
            lease_.EndAndWithdraw(former_coordinators_.pending()));
}

}  // namespace bluebell
