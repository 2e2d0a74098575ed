#include "bluebell/daemon/daemon.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <random>
#include <string>
#include <utility>

#include "bluebell/admin/admin_server.h"
#include "bluebell/control/control_state.h"
#include "bluebell/daemon/control_loop.h"
#include "bluebell/daemon/peer_requests.h"
#include "bluebell/daemon/traffic_plane.h"
#include "bluebell/peer/peer_server.h"
#include "bluebell/runtime/clock.h"
#include "bluebell/telemetry/log_event.h"

namespace bluebell {

namespace {

// How long the daemon keeps accepting requests after it announced that it
// leaves. Other daemons forward requests to it until its heartbeat reaches
// them.
constexpr milliseconds kLeaveNoticeDelay{400};
// How long the links stay open for the transfer of the ledgers.
constexpr milliseconds kLedgerTransferTime{300};

std::uint64_t RandomNumber() {
  std::random_device source;
  return (std::uint64_t{source()} << 32U) | source();
}

}  // namespace

daemon::daemon(boost::asio::io_context& io, daemon_settings settings)
    : io_(io), settings_(std::move(settings)) {}

result<std::unique_ptr<daemon>> daemon::Start(boost::asio::io_context& io,
                                              const daemon_settings& settings) {
  std::unique_ptr<daemon> made(new daemon(io, settings));
  const result<bool> opened = made->Open();
  if (!opened) {
    return opened.error();
  }
  made->control_->Start();
  log_event(log_level::kInfo, "daemon started")
      .With("daemon", settings.id.value())
      .With("domain", settings.domain.value())
      .With("callers", settings.caller_listen.ToString())
      .Write();
  return made;
}

// The control loop is started after the traffic plane exists, because it
// publishes snapshots to it.
result<bool> daemon::Open() {
  const result<bool> control = OpenControl();
  if (!control) {
    return control.error();
  }
  auto plane = traffic_plane::Start(
      settings_, metrics_,
      {[this](const exchange_observed& seen) { control_->Post(seen); },
       [this](const load_report& load) {
         control_->Post(load_measured{load});
       }});
  if (!plane) {
    return plane.error();
  }
  plane_ = std::move(plane.value());
  auto peers =
      peer_server::Make(plane_->loops(), settings_.peer_listen,
                        ServePeers(*plane_, *control_, metrics_), metrics_);
  if (!peers) {
    return peers.error();
  }
  peers_ = std::move(peers.value());
  const admin_handlers handlers{
      [this](operator_command command, admin_handlers::reply_handler done) {
        control_->Ask(std::move(command), std::move(done));
      },
      [this](const request_id& id, const admin_handlers::reply_handler& done) {
        Explain(id, done);
      }};
  auto admin =
      admin_server::Make(io_, settings_.admin_listen, handlers, metrics_);
  if (!admin) {
    return admin.error();
  }
  admin_ = std::move(admin.value());
  return true;
}

result<bool> daemon::OpenControl() {
  auto state = control_state::Make(settings_, incarnation(RandomNumber()),
                                   RandomNumber(), Now());
  if (!state) {
    return state.error();
  }
  control_loop_options options;
  options.on_snapshot =
      [this](const std::shared_ptr<const routing_snapshot>& snapshot) {
        plane_->Publish(snapshot);
      };
  auto control = control_loop::Make(
      settings_, DecisionsOf(std::move(state.value())), options, metrics_);
  if (!control) {
    return control.error();
  }
  control_ = std::move(control.value());
  return true;
}

daemon::~daemon() {
  admin_.reset();
  if (control_) {
    control_->Stop();
  }
  // The peer server's connections run on the traffic threads.
  peers_.reset();
  plane_.reset();
}

void daemon::Explain(const request_id& id,
                     const std::function<void(operator_reply)>& done) {
  plane_->Explain(id, [done](const std::string& steps) {
    const bool found = steps != "[]";
    done({found ? 200U : 404U, "{\"decisions\":" + steps + "}"});
  });
}

void daemon::Shutdown(std::function<void()> done) {
  log_event(log_level::kInfo, "daemon stopping")
      .With("daemon", settings_.id.value())
      .Write();
  control_->Post(stop_requested{});
  After(kLeaveNoticeDelay, [this, done = std::move(done)] {
    plane_->Drain([this, done](const std::vector<ledger_transfer>& ledgers) {
      TransferLedgers(ledgers);
      After(kLedgerTransferTime, done);
    });
  });
}

// Sends each ledger to the daemon that is now the endpoint's dispatcher in the
// snapshot. Dispatchers that were replaced earlier transferred their ledgers at
// that time.
void daemon::TransferLedgers(const std::vector<ledger_transfer>& ledgers) {
  const auto snapshot = control_->snapshots().Load();
  if (!snapshot) {
    return;
  }
  for (const ledger_transfer& ledger : ledgers) {
    const auto routes = snapshot->services.find(ledger.service);
    const endpoint_entry* endpoint =
        routes == snapshot->services.end()
            ? nullptr
            : routes->second.FindEndpoint(ledger.endpoint);
    if (endpoint != nullptr && endpoint->dispatcher != settings_.id) {
      plane_->SendLedger(endpoint->dispatcher_address, ledger);
    }
  }
}

void daemon::After(milliseconds delay, std::function<void()> task) {
  boost::asio::post(io_, [this, delay, task = std::move(task)] {
    auto timer = std::make_shared<boost::asio::steady_timer>(io_, delay);
    timer->async_wait([timer, task](boost::system::error_code failure) {
      if (!failure) {
        task();
      }
    });
  });
}

}  // namespace bluebell
