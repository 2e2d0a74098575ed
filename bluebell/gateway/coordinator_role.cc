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
// Short, so that a successor renews the grants before they end.
constexpr milliseconds kLeaseTerm{1'200};
constexpr milliseconds kLeaseRenewal{350};
// The k-th in line waits k times this, so that not all claim at once.
constexpr milliseconds kPlaceStep{150};
constexpr milliseconds kClaimMessageInterval{100};
constexpr milliseconds kMeasureInterval{250};
constexpr milliseconds kHandOverRetry{200};
// After giving the role up for lack of reach, others get the chance.
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
      tick_(io) {}

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
      watcher_.state().RevisionOf(kCoordinatorKey) > claim_revision_) {
    StopHolding("another daemon coordinates");
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
  return std::any_of(services.begin(), services.end(),
                     [](const fleet_service& each) { return each.keyed; });
}

std::size_t coordinator_role::PlaceInLine() const {
  const auto own = view_->members.find(self_.id);
  const auto place = [](const fleet_member& member) {
    return std::tuple(member.leaving, ~member.cpu_millis,
                      member.instance.run.value());
  };
  return static_cast<std::size_t>(std::count_if(
      view_->members.begin(), view_->members.end(), [&](const auto& entry) {
        return place(entry.second) < place(own->second);
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
  const bool candidate = !leaving_ && !claiming_ && HasKeyedService() &&
                         view_->members.contains(self_.id) &&
                         now >= resigned_until_ && watcher_.store_is_well();
  if (!candidate) {
    vacant_since_.reset();
    return;
  }
  // A former run of this daemon has ended, since this one has its address.
  const bool own_former = view_->coordinator &&
                          view_->coordinator->id == self_.id &&
                          view_->coordinator->run != self_.run;
  if (view_->coordinator && !own_former) {
    vacant_since_.reset();
    return;
  }
  if (!vacant_since_) {
    vacant_since_ = now;
  }
  if (own_former ||
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
  const std::optional<daemon_instance> former =
      watcher_.state().last_coordinator();
  RememberFormer(former);
  const store_version expected = watcher_.state().RevisionOf(kCoordinatorKey);
  const instant started = BootNow();
  const result<kv_granted_lease> lease = co_await store_.StartLease(kLeaseTerm);
  if (!lease) {
    watcher_.NoteFailure(lease.error(), BootNow());
    co_return;
  }
  const bool claimed = co_await WriteClaim(expected, lease.value().lease);
  if (!claimed || leaving_) {
    vacant_since_.reset();
    co_return;
  }
  lease_ = lease.value().lease;
  proof_ = started;
  claimed_at_ = BootNow();
  const bool taken = co_await TakeOver();
  if (!taken) {
    vacant_since_.reset();
    co_return;
  }
  holding_ = true;
  ++term_;
  log_event(log_level::kInfo, "coordinates keys")
      .With("revision", claim_revision_)
      .With("former", former ? former->id.value() : std::string())
      .Write();
  asio::co_spawn(
      io_, [this] { return KeepLease(); }, asio::detached);
}

asio::awaitable<bool> coordinator_role::WriteClaim(
    const store_version& expected,
    kv_lease lease) {
  const std::string value = EncodeDaemon(self_);
  const kv_write write{{{std::string(kCoordinatorKey), expected}},
                       {{std::string(kCoordinatorKey), value, lease},
                        {std::string(kLastCoordinatorKey), value, kv_lease()}}};
  const result<kv_write_result> written = co_await store_.Write(write);
  if (written) {
    const auto* done = std::get_if<kv_written>(&written.value());
    if (done != nullptr) {
      claim_revision_ = done->revision;
    }
    co_return done != nullptr;
  }
  watcher_.NoteFailure(written.error(), BootNow());
  // The write may have taken effect without an answer.
  const result<kv_listing> found =
      co_await store_.List(std::string(kCoordinatorKey));
  if (!found) {
    co_return false;
  }
  for (const kv_item& item : found.value().items) {
    if (item.key == kCoordinatorKey && item.value == value &&
        item.lease == lease) {
      claim_revision_ = item.revision;
      co_return true;
    }
  }
  co_return false;
}

void coordinator_role::RememberFormer(
    const std::optional<daemon_instance>& former) {
  // A claim of this run that failed halfway has put its own name in place of
  // the former coordinator's, which may still renew grants.
  if (!former || *former == self_) {
    return;
  }
  former_ = former;
  // A former run of this daemon has ended, since this one has its address.
  former_excluded_ = former->id == self_.id;
}

asio::awaitable<bool> coordinator_role::TakeOver() {
  // Only tables read after the claim count: a former coordinator can't write
  // any more.
  const result<kv_listing> tables =
      co_await store_.List(std::string(kTablePrefix));
  if (!tables) {
    watcher_.NoteFailure(tables.error(), BootNow());
    co_return false;
  }
  const instant now = BootNow();
  const std::optional<instant> former_until =
      former_excluded_ ? std::optional(now) : std::nullopt;
  next_claim_message_ = now;
  services_.clear();
  for (const kv_item& item : tables.value().items) {
    const service_name service(item.key.substr(kTablePrefix.size()));
    result<key_table> table = key_table::FromJson(item.value);
    if (!table) {
      log_event(log_level::kError, "key table can't be read")
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
    unit->keys.SetEndpoints(view_->EndpointsOf(service.name), now);
  }
}

asio::awaitable<void> coordinator_role::KeepLease() {
  const std::uint64_t term = term_;
  asio::steady_timer timer(io_);
  while (holding_ && term_ == term) {
    timer.expires_after(kLeaseRenewal);
    co_await timer.async_wait(kAwait);
    if (!holding_ || term_ != term) {
      break;
    }
    const instant sent = BootNow();
    const result<bool> renewed = co_await store_.RenewLease(lease_);
    if (!holding_ || term_ != term) {
      break;
    }
    if (!renewed) {
      watcher_.NoteFailure(renewed.error(), BootNow());
    } else if (renewed.value()) {
      watcher_.NoteSuccess(BootNow());
      proof_ = sent;
    } else if (!leaving_) {
      // The lease lapsed in an outage. The role is taken again unless another
      // daemon was faster.
      const result<kv_granted_lease> lease =
          co_await store_.StartLease(kLeaseTerm);
      if (lease && co_await WriteClaim(store_version(), lease.value().lease)) {
        lease_ = lease.value().lease;
        proof_ = sent;
        log_event(log_level::kInfo, "coordinates keys again")
            .With("revision", claim_revision_)
            .Write();
      }
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
  while (holding_ && !co_await EndLease()) {
    timer.expires_after(kHandOverRetry);
    co_await timer.async_wait(kAwait);
  }
  if (holding_) {
    StopHolding("the daemon is leaving");
  }
}

void coordinator_role::OnClaim(const address& from,
                               const coordinator_claim& claim) {
  if (holding_ && claim.revision <= claim_revision_.value()) {
    return;
  }
  if (holding_) {
    StopHolding("another daemon has claimed the role");
  }
  traffic_.SendPeer(from, coordinator_yield{claim.revision});
}

void coordinator_role::OnYield(const address& from,
                               const coordinator_yield& yield) {
  if (!holding_ || former_excluded_ || !former_ ||
      yield.revision != claim_revision_.value()) {
    return;
  }
  const auto member = view_->members.find(former_->id);
  if (member != view_->members.end() && member->second.peer == from) {
    ExcludeFormer(BootNow(), "it has yielded");
  }
}

void coordinator_role::ExcludeFormer(instant until, const std::string& reason) {
  former_excluded_ = true;
  for (auto& [service, unit] : services_) {
    unit->keys.SetFormerUntil(until);
  }
  log_event(log_level::kInfo, "former coordinator is excluded")
      .With("former", former_ ? former_->id.value() : std::string())
      .With("reason", reason)
      .Write();
}

void coordinator_role::CheckFormer(instant now) {
  if (former_excluded_ || !former_) {
    return;
  }
  const auto member = view_->members.find(former_->id);
  if (member != view_->members.end() &&
      member->second.instance.run != former_->run) {
    ExcludeFormer(now, "its process has ended");
    return;
  }
  if (now >= claimed_at_ + timing_.authority) {
    ExcludeFormer(now, "its authority has run out");
    return;
  }
  if (now >= next_claim_message_ && member != view_->members.end()) {
    next_claim_message_ = now + kClaimMessageInterval;
    traffic_.SendPeer(member->second.peer,
                      coordinator_claim{claim_revision_.value()});
  }
}

void coordinator_role::TickHolding(instant now) {
  CheckFormer(now);
  const instant authority_until = proof_ + timing_.authority;
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
  std::vector<unheld_range> unheld = unit.keys.UnheldRanges();
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
        found->keys.SetLoads(load.keys, load.capacities, BootNow());
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
    // Nobody could learn of it. The owners that are reached keep their keys
    // until the authority runs out, and the lease ends by itself.
    return;
  }
  resigned_until_ = BootNow() + kResignTime;
  StopHolding("most owners of keys can't be reached");
  // A lease that can't be ended now ends by itself.
  asio::co_spawn(
      io_, [this]() -> asio::awaitable<void> { co_await EndLease(); },
      asio::detached);
}

asio::awaitable<bool> coordinator_role::EndLease() {
  const result<bool> ended = co_await store_.EndLease(lease_);
  if (!ended) {
    log_event(log_level::kWarn, "coordinator lease not ended")
        .With(ended.error())
        .Write();
  }
  co_return ended.has_value();
}

}  // namespace bluebell
