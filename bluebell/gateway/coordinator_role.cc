#include "bluebell/gateway/coordinator_role.h"

#include <algorithm>
#include <tuple>
#include <utility>
#include <variant>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "bluebell/core/boot_clock.h"
#include "bluebell/fleet/store_keys.h"
#include "bluebell/gateway/store_watcher.h"
#include "bluebell/http/http_client.h"
#include "bluebell/kv/kv_client.h"
#include "bluebell/proxy/traffic_side.h"
#include "bluebell/telemetry/log_event.h"

namespace bluebell {

namespace {

namespace asio = boost::asio;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

constexpr milliseconds kTickHolding{50};
constexpr milliseconds kTickVacant{100};
constexpr milliseconds kLeaseRenewal{350};
// The daemon of rank k waits k times this long before it claims the role, so
// that the daemons don't all claim at once.
constexpr milliseconds kPlaceStep{150};
constexpr milliseconds kClaimMessageInterval{100};
constexpr milliseconds kMeasureInterval{250};
constexpr milliseconds kHandOverRetry{200};
// A daemon that has resigned because it reaches too few endpoints doesn't claim
// the role again for this time, so that another daemon can take it.
constexpr milliseconds kResignTime{10'000};

}  // namespace

coordinator_role::coordinator_role(asio::io_context& io,
                                   const key_timing& timing,
                                   daemon_instance self,
                                   kv_client& store,
                                   store_watcher& watcher,
                                   traffic_side& traffic)
    : io_(io),
      timing_(timing),
      self_(std::move(self)),
      store_(store),
      watcher_(watcher),
      traffic_(traffic),
      tick_(io),
      lease_(self_, store, watcher) {}

coordinator_role::~coordinator_role() = default;

void coordinator_role::Start() {
  ScheduleTick();
}

void coordinator_role::ScheduleTick() {
  tick_.expires_after(holding_ ? kTickHolding : kTickVacant);
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
  if (holding_ && view_->coordinator && *view_->coordinator != self_ &&
      watcher_.state().RevisionOf(kCoordinatorKey) > lease_.revision()) {
    StopHolding("another daemon is the coordinator");
  }
  if (holding_) {
    SyncServices(now);
    TickHolding(now);
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

std::size_t coordinator_role::PlaceInLine() const {
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
  if (holding_) {
    TickHolding(now);
  } else {
    TickVacant(now);
  }
}

void coordinator_role::TickVacant(instant now) {
  const bool may_claim = !leaving_ && !claiming_ && HasKeyedService() &&
                         IsAnnounced() && now >= resigned_until_ &&
                         watcher_.store_is_well() && lease_.view_is_recent();
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
      now - *vacant_since_ >= kPlaceStep * static_cast<int>(PlaceInLine())) {
    claiming_ = true;
    asio::co_spawn(
        io_,
        [this]() -> asio::awaitable<void> {
          co_await Claim();
          claiming_ = false;
        },
        asio::detached);
  }
}

asio::awaitable<void> coordinator_role::Claim() {
  formers_ = former_coordinators::Before(watcher_.state().coordinator_history(),
                                         self_);
  const claim_outcome outcome = co_await lease_.Claim(formers_.pending());
  if (outcome != claim_outcome::kClaimed || leaving_) {
    vacant_since_.reset();
    co_return;
  }
  formers_.SetAuthorityUntil(BootNow() + timing_.authority_duration);
  const bool tables_loaded = co_await TakeOver();
  // This daemon may have yielded to a later claim in the meantime.
  if (!tables_loaded || lease_.revision() <= yielded_) {
    vacant_since_.reset();
    co_return;
  }
  holding_ = true;
  ++term_;
  watcher_.SetDuty(watch_duty::kKeys);
  log_event(log_level::kInfo, "coordinates keys")
      .With("revision", lease_.revision())
      .With("former", FormersText())
      .Write();
  asio::co_spawn(
      io_, [this] { return KeepLease(); }, asio::detached);
}

std::string coordinator_role::FormersText() const {
  std::string ids;
  for (const daemon_instance& former : formers_.pending()) {
    ids += (ids.empty() ? "" : ",") + former.id.value();
  }
  return ids;
}

asio::awaitable<bool> coordinator_role::TakeOver() {
  // The tables are read after the claim, because a former coordinator can't
  // write them any more from then on.
  const result<kv_listing> tables =
      co_await store_.List(std::string(kTablePrefix));
  if (!tables) {
    watcher_.NoteFailure(tables.error(), BootNow());
    co_return false;
  }
  const instant now = BootNow();
  const std::optional<instant> former_until =
      formers_.excluded() ? std::optional(now) : std::nullopt;
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
    auto unit = std::make_unique<service_keys>(timing_);
    unit->keys.TakeOver(std::move(table).value(), item.revision, former_until,
                        now);
    services_.insert_or_assign(service, std::move(unit));
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
    std::unique_ptr<service_keys>& unit = services_[service.name];
    if (!unit) {
      unit = std::make_unique<service_keys>(timing_);
      unit->keys.TakeOver(key_table(), store_version(), now, now);
    }
    unit->keys.SetEndpoints(view_->EndpointsOf(service.name));
  }
}

asio::awaitable<void> coordinator_role::KeepLease() {
  const std::uint64_t term = term_;
  asio::steady_timer timer(io_);
  while (holding_ && term_ == term) {
    timer.expires_after(kLeaseRenewal);
    co_await timer.async_wait(kAwait);
    if (!holding_ || term_ != term || leaving_) {
      break;
    }
    const claim_outcome outcome = co_await lease_.Renew(formers_.pending());
    if (!holding_ || term_ != term) {
      break;
    }
    if (outcome == claim_outcome::kTaken) {
      StopHolding("another daemon has claimed the role since the last renewal");
    } else if (formers_.excluded()) {
      co_await lease_.NoteFormersExcluded();
    }
  }
}

void coordinator_role::StopHolding(const std::string& reason) {
  holding_ = false;
  ++term_;
  for (const auto& [service, unit] : services_) {
    traffic_.SetUnheld(service, {});
  }
  services_.clear();
  vacant_since_.reset();
  log_event(log_level::kInfo, "stops coordinating keys")
      .With("reason", reason)
      .Write();
}

void coordinator_role::Leave() {
  leaving_ = true;
  if (holding_) {
    asio::co_spawn(
        io_, [this] { return HandOver(); }, asio::detached);
  }
}

asio::awaitable<void> coordinator_role::HandOver() {
  asio::steady_timer timer(io_);
  while (holding_ && !co_await lease_.End()) {
    timer.expires_after(kHandOverRetry);
    co_await timer.async_wait(kAwait);
  }
  if (holding_) {
    StopHolding("the daemon is leaving");
  }
}

void coordinator_role::OnClaim(const address& from,
                               const coordinator_claim& claim) {
  const store_version claimed(claim.revision);
  if (holding_ && claimed <= lease_.revision()) {
    return;
  }
  if (holding_) {
    StopHolding("another daemon has claimed the role");
  }
  yielded_ = std::max(yielded_, claimed);
  traffic_.SendPeer(from, coordinator_yield{claim.revision});
}

void coordinator_role::OnYield(const address& from,
                               const coordinator_yield& yield) {
  if (!holding_ || store_version(yield.revision) != lease_.revision()) {
    return;
  }
  if (const auto done = formers_.OnYield(from, view_->members)) {
    OnExcluded(*done, BootNow());
  }
}

void coordinator_role::OnExcluded(const coordinator_exclusion& done,
                                  instant now) {
  log_event(log_level::kInfo, "former coordinator is excluded")
      .With("former", done.daemon.id)
      .With("reason", std::string(ToText(done.reason)))
      .Write();
  if (formers_.excluded()) {
    for (auto& [service, unit] : services_) {
      unit->keys.OnFormerStopped(now);
    }
  }
}

void coordinator_role::CheckFormers(instant now) {
  for (const coordinator_exclusion& done :
       formers_.Advance(view_->members, now)) {
    OnExcluded(done, now);
  }
  if (formers_.excluded() || now < next_claim_message_) {
    return;
  }
  next_claim_message_ = now + kClaimMessageInterval;
  for (const daemon_instance& former : formers_.pending()) {
    const auto member = view_->members.find(former.id);
    if (member != view_->members.end()) {
      traffic_.SendPeer(member->second.peer,
                        coordinator_claim{lease_.revision().value()});
    }
  }
}

void coordinator_role::TickHolding(instant now) {
  CheckFormers(now);
  const instant authority_until = lease_.proof() + timing_.authority_duration;
  for (auto& [service, unit] : services_) {
    Measure(service, *unit, now);
    const bool may_write =
        !unit->writing && now >= unit->next_write && watcher_.store_is_well();
    const auto actions = unit->keys.Advance(authority_until, may_write, now);
    Execute(service, actions);
    if (!holding_) {
      return;
    }
    TellUnheld(service, *unit);
  }
}

void coordinator_role::TellUnheld(const service_name& service,
                                  service_keys& unit) {
  std::vector<unserved_range> unheld = unit.keys.UnservedRanges();
  if (unheld != unit.unheld) {
    unit.unheld = std::move(unheld);
    traffic_.SetUnheld(service, unit.unheld);
  }
}

void coordinator_role::Measure(const service_name& service,
                               service_keys& unit,
                               instant now) {
  if (now < unit.next_measure) {
    return;
  }
  unit.next_measure = now + kMeasureInterval;
  traffic_.Measure(service, [this](measured_load load) {
    asio::post(io_, [this, load = std::move(load)] {
      if (service_keys* found = FindKeys(load.service)) {
        found->keys.SetLoads(load.keys, load.capacities);
      }
    });
  });
}

coordinator_role::service_keys* coordinator_role::FindKeys(
    const service_name& service) {
  const auto found = services_.find(service);
  return found == services_.end() ? nullptr : found->second.get();
}

void coordinator_role::Resign() {
  if (!watcher_.store_is_well()) {
    // Other daemons couldn't learn of the resignation. The endpoints that are
    // reached keep their keys until the authority ends, and the lease expires.
    return;
  }
  resigned_until_ = BootNow() + kResignTime;
  StopHolding("most owners of keys can't be reached");
  // If this call fails, the lease expires.
  asio::co_spawn(
      io_, [this]() -> asio::awaitable<void> { co_await lease_.End(); },
      asio::detached);
}

}  // namespace bluebell
