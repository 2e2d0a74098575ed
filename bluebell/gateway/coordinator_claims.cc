// The part of coordinator_role that claims the role and keeps it: the claims of
// a candidate, the takeover of the key tables, the lease, and the eras of the
// store.

#include <algorithm>
#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "bluebell/core/boot_clock.h"
#include "bluebell/fleet/store_keys.h"
#include "bluebell/gateway/coordinator_role.h"
#include "bluebell/gateway/role_claim.h"
#include "bluebell/gateway/store_watcher.h"
#include "bluebell/gateway/stored_tables.h"
#include "bluebell/kv/kv_client.h"
#include "bluebell/net/task.h"
#include "bluebell/telemetry/log_event.h"

namespace bluebell {

namespace {

namespace asio = boost::asio;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

constexpr milliseconds kLeaseRenewalInterval{350};
// The daemon of rank k waits k times this long before it claims the role, so
// that the daemons don't all claim at once.
constexpr milliseconds kClaimDelayPerRank{150};
constexpr milliseconds kSilenceRetryInterval{200};

}  // namespace

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
  const result<std::vector<coordinator_record>> history =
      HistoryIn(role.value().items);
  ObserveEra(BootNow());
  if (authority_.term() != term || leaving_) {
    co_return claim_outcome::kUnknown;
  }
  if (!history) {
    // Another daemon may have claimed the role.
    log_event(log_level::kError, "coordinators' history can't be decoded")
        .With(history.error())
        .Write();
    co_return claim_outcome::kUnknown;
  }
  if (IsClaimedByOther(history.value(), self_, era)) {
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

}  // namespace bluebell
