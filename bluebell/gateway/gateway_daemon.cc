#include "bluebell/gateway/gateway_daemon.h"

#include <algorithm>
#include <cstdint>
#include <random>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "bluebell/core/boot_clock.h"
#include "bluebell/fleet/fleet_state.h"
#include "bluebell/fleet/relay_order.h"
#include "bluebell/gateway/coordinator_role.h"
#include "bluebell/gateway/member_lease.h"
#include "bluebell/gateway/store_watcher.h"
#include "bluebell/kv/kv_client.h"
#include "bluebell/permits/dispatcher_order.h"
#include "bluebell/proxy/traffic_server.h"
#include "bluebell/telemetry/log_event.h"
#include "platform/endpoint_entry.h"
#include "platform/operator_config.h"

namespace bluebell {

namespace {

namespace asio = boost::asio;

// The load balancer removes a daemon after two failed health checks, one per
// second. Until then the daemon accepts connections.
constexpr milliseconds kLoadBalancerRemovalTime{2'600};
constexpr milliseconds kShutdownCheckInterval{50};

// Non-zero and within a signed 64-bit integer, so that JSON readers that use
// this type keep the exact value.
std::uint64_t RandomRun() {
  std::random_device device;
  return std::uniform_int_distribution<std::uint64_t>(1, INT64_MAX)(device);
}

fleet_decoders PlatformDecoders() {
  return {std::string(platform::kEndpointPrefix),
          std::string(platform::kConfigKey),
          platform::DecodeEndpoint,
          platform::DecodeConfig,
          std::string(platform::kOperatorPrefix),
          std::string(platform::kEvacuationPrefix)};
}

// The highest duty of the daemon `self` among all services.
watch_duty DutyOf(const fleet_snapshot& view, const daemon_id& self) {
  watch_duty duty = watch_duty::kNone;
  for (const fleet_service& service : view.config->services()) {
    const auto order = DispatcherOrder(view, service.name);
    const auto own = std::find_if(
        order.begin(), order.end(),
        [&](const fleet_member& member) { return member.instance.id == self; });
    const auto rank = own - order.begin();
    if (service.keyed && rank <= 1) {
      duty = std::max(duty, rank == 0 ? watch_duty::kCoordinator
                                      : watch_duty::kCoordinatorStandby);
    } else if (rank == 0) {
      duty = std::max(duty, watch_duty::kDispatcher);
    }
  }
  return duty;
}

}  // namespace

gateway_daemon::gateway_daemon(asio::io_context& io,
                               const gateway_settings& settings)
    : io_(io),
      settings_(settings),
      self_{settings.id, incarnation(RandomRun())},
      shutdown_timer_(io) {}

gateway_daemon::~gateway_daemon() = default;

result<std::unique_ptr<gateway_daemon>> gateway_daemon::Start(
    asio::io_context& io,
    const gateway_settings& settings) {
  std::unique_ptr<gateway_daemon> daemon(new gateway_daemon(io, settings));
  auto store = kv_client::Make(io, settings.store);
  if (!store) {
    return store.error();
  }
  daemon->store_ = std::move(store.value());
  gateway_daemon* self = daemon.get();
  const traffic_callbacks hooks{
      [self](const address& from, const coordinator_claim& claim) {
        asio::post(self->io_,
                   [self, from, claim] { self->role_->OnClaim(from, claim); });
      },
      [self](const address& /*from*/, const coordinator_yield& yield) {
        asio::post(self->io_, [self, yield] { self->role_->OnYield(yield); });
      },
      [self](const endpoint_instance& endpoint) {
        asio::post(self->io_, [self, endpoint] {
          self->watcher_->RecordLeaving(endpoint);
        });
      },
      [self](const address& from, const fleet_update_request& request) {
        asio::post(self->io_, [self, from, request] {
          self->watcher_->OnUpdateRequest(from, request);
        });
      },
      [self](const address& from, const fleet_update& update) {
        asio::post(self->io_, [self, from, update] {
          self->watcher_->OnUpdate(from, update);
        });
      },
      [self](std::uint64_t revision) {
        asio::post(self->io_, [self, revision] {
          self->watcher_->ExpectRevision(revision);
        });
      },
      [self](std::uint64_t revision) {
        asio::post(self->io_, [self, revision] {
          self->watcher_->ExpectEndpointsRevision(revision);
        });
      }};
  auto traffic = traffic_server::Start(daemon->settings_, daemon->self_,
                                       daemon->metrics_, hooks);
  if (!traffic) {
    return traffic.error();
  }
  daemon->traffic_ = std::move(traffic.value());
  daemon->watcher_ = std::make_unique<store_watcher>(
      io, *daemon->store_, PlatformDecoders(),
      watcher_handlers{
          [self](const fleet_state& state) { self->OnState(state); },
          [self](const address& to, const wire_message& message) {
            self->traffic_->SendPeer(to, message);
          },
          [self](const silent_watch& silent) {
            self->metrics_.Add(metric::kSilentWatches,
                               {silent.watch, Describe(silent.shown_by)});
          }});
  const fleet_member member{daemon->self_, settings.domain,
                            settings.peer_listen, settings.cpu_millis, false};
  daemon->member_ = std::make_unique<member_lease>(io, *daemon->store_,
                                                   *daemon->watcher_, member);
  key_timing timing;
  timing.grant_duration =
      std::min(timing.grant_duration, settings.max_grant_lifetime);
  daemon->role_ = std::make_unique<coordinator_role>(
      io, timing, daemon->self_, settings.first_start, *daemon->store_,
      *daemon->watcher_, *daemon->traffic_);
  daemon->watcher_->Start();
  daemon->member_->Start();
  daemon->role_->Start();
  log_event(log_level::kInfo, "daemon started")
      .With("id", self->self_.id)
      .With("run", self->self_.run)
      .With("domain", settings.domain)
      .With("store", settings.store.ToString())
      .Write();
  return daemon;
}

void gateway_daemon::OnState(const fleet_state& state) {
  const auto view = std::make_shared<const fleet_snapshot>(state.snapshot());
  log_event(log_level::kInfo, "view changed")
      .With("revision", view->revision)
      .With("config", view->config ? view->config->version().value() : 0)
      .With("endpoints", view->endpoints.size())
      .With("members", view->members.size())
      .With("evacuated_domains", view->evacuated_domains.size())
      .With("coordinator",
            view->coordinator ? view->coordinator->id.value() : std::string())
      .Write();
  metrics_.Set(metric::kEvacuatedDomains, {},
               static_cast<double>(view->evacuated_domains.size()));
  metrics_.Set(metric::kStoreEra, {},
               static_cast<double>(store_->era().value()));
  traffic_->Publish(view);
  role_->OnView(view);
  if (view->config) {
    ApplyDuty(*view);
  }
}

void gateway_daemon::ApplyDuty(const fleet_snapshot& view) {
  watch_duty duty = DutyOf(view, self_.id);
  std::vector<address> relays;
  for (const fleet_member& relay : RelaysOf(view, settings_.domain)) {
    if (relay.instance.id == self_.id) {
      duty = std::max(duty, watch_duty::kRelay);
    } else {
      relays.push_back(relay.peer);
    }
  }
  // Divides the followers among the relays.
  if (relays.size() > 1 && self_.run.value() % 2 == 1) {
    std::reverse(relays.begin(), relays.end());
  }
  watcher_->SetRelays(std::move(relays));
  const std::vector<fleet_member> peers =
      ConfirmingPeersOf(view, settings_.domain);
  std::vector<address> peer_addresses;
  for (const fleet_member& peer : peers) {
    if (peer.instance.id == self_.id) {
      // The others ask this daemon, so it asks the store.
      peer_addresses.clear();
      break;
    }
    peer_addresses.push_back(peer.peer);
  }
  watcher_->SetConfirmingPeers(std::move(peer_addresses));
  watcher_->SetDuty(duty);
}

void gateway_daemon::Reload(const gateway_settings& settings) {
  log_event(log_level::kInfo, "settings read again")
      .With("changed", !(settings == settings_))
      .Write();
}

void gateway_daemon::Shutdown(std::function<void()> done) {
  if (shutdown_done_) {
    return;
  }
  log_event(log_level::kInfo, "daemon stopping").Write();
  shutdown_done_ = std::move(done);
  shutdown_ = shutdown_window::Begin(BootNow(), settings_.shutdown_grace);
  traffic_->BeginShutdown(*shutdown_);
  role_->Leave();
  member_->Leave();
  FinishShutdown();
}

void gateway_daemon::FinishShutdown() {
  shutdown_timer_.expires_after(kShutdownCheckInterval);
  shutdown_timer_.async_wait([this](boost::system::error_code cancelled) {
    if (cancelled) {
      return;
    }
    const instant now = BootNow();
    const milliseconds accept_time =
        std::min(kLoadBalancerRemovalTime, settings_.shutdown_grace / 2);
    if (now >= shutdown_->began_at() + accept_time && !stopped_accepting_) {
      stopped_accepting_ = true;
      traffic_->StopAccepting();
    }
    if (now >= shutdown_->exit_at()) {
      log_event(log_level::kWarn, "daemon stopped before shutdown was complete")
          .Write();
      shutdown_done_();
      return;
    }
    // The coordinator stays until its lease has ended: no other daemon can take
    // over the keys while the store is unavailable.
    if (stopped_accepting_ && !role_->is_coordinator()) {
      traffic_->CountActive([this](std::size_t active) {
        if (active == 0) {
          asio::post(io_, [this] {
            log_event(log_level::kInfo, "daemon stopped").Write();
            shutdown_done_();
          });
        }
      });
    }
    FinishShutdown();
  });
}

}  // namespace bluebell
