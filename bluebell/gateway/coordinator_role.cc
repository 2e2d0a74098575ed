#include "bluebell/gateway/coordinator_role.h"

#include <algorithm>
#include <utility>

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

void coordinator_role::Tick(instant now) {
  ObserveEra(now);
  if (authority_.has_role()) {
    TickAsCoordinator(now);
  } else {
    TickAsCandidate(now);
  }
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
