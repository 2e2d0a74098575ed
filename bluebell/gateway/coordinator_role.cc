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
// A daemon that has resigned because it reaches too few endpoints doesn't claim
// the role again for this time, so that another daemon can take it.
constexpr milliseconds kCandidacyPauseAfterResign{10'000};

}  // namespace

coordinator_role::coordinator_role(asio::io_context& io,
                                   const key_timing& timing,
                                   daemon_instance self,
                                   kv_client& store,
                                   store_watcher& watcher,
                                   traffic_server& traffic)
    : io_(io),
      timing_(timing),
      self_(std::move(self)),
      store_(store),
      watcher_(watcher),
      traffic_(traffic),
      tick_(io),
      authority_(timing),
      lease_(self_, store, watcher) {}

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

void coordinator_role::Tick(instant now) {
  if (authority_.has_role()) {
    TickAsCoordinator(now);
  } else {
    TickAsCandidate(now);
  }
}

void coordinator_role::TickAsCandidate(instant now) {
  const bool may_claim = !leaving_ && !claim_in_flight_ && HasKeyedService() &&
                         IsAnnounced() && now >= resigned_until_ &&
                         watcher_.store_is_available() &&
                         lease_.view_is_recent();
  if (!may_claim) {
    vacant_since_.reset();
    return;
  }
  // An earlier run of this daemon has ended, since this process could bind its
  // address.
  const bool coordinator_is_own_earlier_run =
      view_->coordinator && view_->coordinator->id == self_.id &&
      view_->coordinator->run != self_.run;
  if (view_->coordinator && !coordinator_is_own_earlier_run) {
    vacant_since_.reset();
    return;
  }
  if (!vacant_since_) {
    vacant_since_ = now;
  }
  if (coordinator_is_own_earlier_run ||
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
  former_coordinators_ = former_coordinators::FromHistory(
      watcher_.state().coordinator_history(),
      watcher_.state().RevisionOf(kCoordinatorHistoryKey), self_);
  const claim_outcome outcome =
      co_await lease_.Claim(former_coordinators_.pending());
  if (outcome != claim_outcome::kClaimed) {
    vacant_since_.reset();
    co_return;
  }
  former_coordinators_.SetAuthorityUntil(BootNow() +
                                         timing_.authority_duration);
  const bool tables_loaded = co_await TakeOver();
  if (leaving_) {
    co_await lease_.End();
    co_return;
  }
  // This daemon may have yielded to a later claim in the meantime.
  if (!tables_loaded || lease_.revision() <= last_yielded_claim_) {
    vacant_since_.reset();
    co_return;
  }
  authority_.OnClaimed();
  watcher_.SetDuty(watch_duty::kCoordinator);
  log_event(log_level::kInfo, "coordinates keys")
      .With("revision", lease_.revision())
      .With("former", FormerCoordinatorIds())
      .Write();
  // Without renewals the lease expires, so the role must end with them.
  SpawnTask(io_.get_executor(), "coordinator lease", KeepLease(),
            [this, term = authority_.term()] {
              if (term == authority_.term()) {
                StopCoordinating("unexpected error while renewing the lease");
              }
            });
}

std::string coordinator_role::FormerCoordinatorIds() const {
  std::string ids;
  for (const coordinator_record& former : former_coordinators_.pending()) {
    ids += (ids.empty() ? "" : ",") + former.daemon.id.value();
  }
  return ids;
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
  for (const kv_item& item : tables.value().items) {
    const service_name service(item.key.substr(kTablePrefix.size()));
    result<key_table> table = key_table::FromJson(item.value);
    if (!table) {
      log_event(log_level::kError, "key table can't be decoded")
          .With(table.error())
          .Write();
      co_return false;
    }
    auto coordinated = std::make_unique<coordinated_service>(timing_);
    coordinated->keys.TakeOver(std::move(table).value(), item.revision,
                               former_until, now);
    services_.insert_or_assign(service, std::move(coordinated));
  }
  SyncServices(now);
  co_return true;
}

void coordinator_role::SyncServices(instant now) {
  if (!view_ || !view_->config) {
    return;
  }
  for (const fleet_service& service : view_->config->services()) {
    if (!service.keyed) {
      continue;
    }
    std::unique_ptr<coordinated_service>& coordinated = services_[service.name];
    if (!coordinated) {
      coordinated = std::make_unique<coordinated_service>(timing_);
      coordinated->keys.TakeOver(key_table(), store_version(), now, now);
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
    const claim_outcome outcome =
        co_await lease_.Renew(former_coordinators_.pending());
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

void coordinator_role::StopCoordinating(const std::string& reason) {
  authority_.OnStopped();
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
    for (auto& [service, coordinated] : services_) {
      coordinated->keys.OnFormerStopped(now);
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
  const instant authority_until = authority_.EndOf(lease_.proven_at());
  if (authority_until <= now) {
    CancelReleases();
  }
  for (auto& [service, coordinated] : services_) {
    Measure(service, *coordinated, now);
    const bool may_write =
        MaySend(order_kind::kTableWrite, authority_.term()) &&
        !coordinated->write_in_flight && now >= coordinated->next_write &&
        watcher_.store_is_available();
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
