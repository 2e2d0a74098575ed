#include "bluebell/proxy/traffic_server.h"

#include <utility>
#include <variant>

#include <boost/asio/post.hpp>

#include "bluebell/core/boot_clock.h"
#include "bluebell/core/byte_budget.h"
#include "bluebell/core/overloaded.h"
#include "bluebell/net/task.h"
#include "bluebell/net/tcp_listener.h"
#include "bluebell/permits/slot_scheduler.h"
#include "bluebell/proxy/page_server.h"
#include "bluebell/proxy/peer_socket.h"
#include "bluebell/telemetry/log_event.h"
#include "bluebell/telemetry/metrics_registry.h"
#include "platform/proxy_headers.h"

namespace bluebell {

namespace {

namespace asio = boost::asio;

constexpr unsigned kOk = 200;
constexpr unsigned kNotFound = 404;
constexpr unsigned kUnavailable = 503;
constexpr seconds kCleaningInterval{2};
// The requests may use one such part of the daemon's memory, the responses
// another. The rest is for everything else.
constexpr std::size_t kMemoryParts = 4;
constexpr std::size_t kBytesPerMegabyte = 1U << 20U;

std::shared_ptr<byte_budget> MemoryBudget(const gateway_settings& settings) {
  return std::make_shared<byte_budget>(settings.memory_mb * kBytesPerMegabyte /
                                       kMemoryParts);
}

}  // namespace

result<std::unique_ptr<traffic_server>> traffic_server::Start(
    const gateway_settings& settings,
    const daemon_instance& self,
    metrics_registry& metrics,
    const traffic_callbacks& callbacks) {
  auto io = std::make_unique<asio::io_context>(1);
  auto peers = peer_socket::Open(*io, settings.peer_listen);
  if (!peers) {
    return peers.error();
  }
  std::unique_ptr<traffic_server> server(
      new traffic_server(settings, self, metrics, callbacks, std::move(io),
                         std::move(peers.value())));
  const result<bool> open = server->OpenListeners();
  if (!open) {
    return open.error();
  }
  server->peers_->Start([target = server.get()](const address& from,
                                                const wire_message& message) {
    target->OnMessage(from, message);
  });
  server->permits_.StartReports();
  server->ScheduleCleanup();
  server->thread_ = std::thread(
      [target = server.get()] { RunHandlers(*target->io_, "traffic"); });
  return server;
}

traffic_server::traffic_server(gateway_settings settings,
                               const daemon_instance& self,
                               metrics_registry& metrics,
                               traffic_callbacks callbacks,
                               std::unique_ptr<asio::io_context> io,
                               std::unique_ptr<peer_socket> peers)
    : settings_(std::move(settings)),
      metrics_(metrics),
      callbacks_(std::move(callbacks)),
      io_(std::move(io)),
      io_work_guard_(asio::make_work_guard(*io_)),
      peers_(std::move(peers)),
      permit_dispatcher_(*io_,
                         self,
                         {settings_.warmup_overage, settings_.warmup_slack},
                         settings_.cross_domain_price_ms_per_mb,
                         metrics_),
      permits_(*io_, self, *peers_, permit_dispatcher_),
      connection_pool_(*io_, MemoryBudget(settings_)),
      server_(settings_,
              permits_,
              connection_pool_,
              metrics_,
              [this](const service_name& service,
                     const endpoint_instance& endpoint) {
                callbacks_.on_endpoint_leaving(endpoint);
                permits_.ReportLeaving(service, endpoint);
              }),
      request_handler_(
          std::make_shared<caller_request_handler>(caller_request_handler{
              [this](const http_request& request, instant arrived) {
                return server_.Serve(request, arrived);
              },
              [this](const http_request& request) {
                return server_.IsIdempotent(request);
              }})),
      connection_state_(std::make_shared<shared_connection_state>()),
      cleanup_timer_(*io_) {
  connection_state_->request_memory = MemoryBudget(settings_);
}

traffic_server::~traffic_server() {
  io_->stop();
  if (thread_.joinable()) {
    thread_.join();
  }
  // Suspended coroutines still refer to the members declared before these.
  caller_listener_.reset();
  readiness_server_.reset();
  metrics_server_.reset();
}

result<bool> traffic_server::OpenListeners() {
  auto listener = tcp_listener::Open(*io_, settings_.caller_listen);
  if (!listener) {
    return listener.error();
  }
  caller_listener_ = std::move(listener.value());
  caller_listener_->Start(
      [this](asio::ip::tcp::socket socket) { AddCaller(std::move(socket)); });
  auto ready = page_server::Open(
      *io_, settings_.ready_listen,
      [this](const http_request& request) { return AnswerReadiness(request); });
  if (!ready) {
    return ready.error();
  }
  readiness_server_ = std::move(ready.value());
  auto pages = page_server::Open(
      *io_, settings_.metrics_listen, [this](const http_request&) {
        return platform::MakeRouterResponse(kOk, metrics_.Expose(), {},
                                            std::nullopt);
      });
  if (!pages) {
    return pages.error();
  }
  metrics_server_ = std::move(pages.value());
  return true;
}

http_response traffic_server::AnswerReadiness(
    const http_request& request) const {
  if (!platform::IsReadinessProbe(request)) {
    return platform::MakeRouterResponse(kNotFound, "no such page", {},
                                        std::nullopt);
  }
  const bool ready = !shutting_down_ && view_ && view_->config;
  return platform::MakeRouterResponse(ready ? kOk : kUnavailable,
                                      ready ? "ready" : "not ready", {},
                                      std::nullopt);
}

void traffic_server::AddCaller(asio::ip::tcp::socket socket) {
  auto connection = std::make_shared<caller_connection>(
      std::move(socket), request_handler_, connection_state_);
  caller_connections_.push_back(connection);
  connection->Start();
}

void traffic_server::ScheduleCleanup() {
  cleanup_timer_.expires_after(kCleaningInterval);
  cleanup_timer_.async_wait([this](boost::system::error_code cancelled) {
    if (cancelled) {
      return;
    }
    ScheduleCleanup();
    connection_pool_.CloseExpired(BootNow());
    std::erase_if(caller_connections_,
                  [](const std::weak_ptr<caller_connection>& each) {
                    return each.expired();
                  });
  });
}

void traffic_server::Publish(const fleet_view& view) {
  asio::post(*io_, [this, view] { ApplyView(view); });
}

void traffic_server::ApplyView(const fleet_view& view) {
  view_ = view;
  if (view_->config) {
    connection_state_->bounds = view_->config->bounds();
  }
  permits_.SetView(view_);
  server_.SetView(view_);
  permit_dispatcher_.SetView(view_, BootNow());
}

bool traffic_server::CanDispatch() const {
  // A daemon that has just started may not have reached the store yet. It
  // leaves permit messages unanswered, so that the requesters use another
  // dispatcher.
  return view_ && view_->config;
}

void traffic_server::OnMessage(const address& from,
                               const wire_message& message) {
  const instant now = BootNow();
  std::visit(
      overloaded{
          [&](const permit_request& request) {
            if (!CanDispatch()) {
              return;
            }
            permit_dispatcher_.RequestPermit(
                request,
                [this, from](const permit_reply& reply) {
                  std::visit(
                      [&](const auto& each) { peers_->Send(from, each); },
                      reply);
                },
                now);
          },
          [&](const permit_release& release) {
            permit_dispatcher_.ReleasePermit(release, now);
          },
          [&](const permit_report& report) {
            if (!CanDispatch()) {
              return;
            }
            permit_dispatcher_.Report(report, now);
            const std::uint64_t own = view_->revision.value();
            peers_->Send(from, permit_report_ack{report.service, own});
            if (report.revision > own) {
              callbacks_.on_newer_revision(report.revision);
            }
          },
          [&](const permit_report_ack& ack) {
            permits_.OnReportAck(from, ack);
            if (view_ && ack.revision > view_->revision.value()) {
              callbacks_.on_newer_revision(ack.revision);
            }
          },
          [&](const permit_granted& reply) {
            if (view_ &&
                reply.endpoints_revision > view_->endpoints_revision.value()) {
              callbacks_.on_newer_endpoints(reply.endpoints_revision);
            }
            permits_.OnReply(from, reply);
          },
          [&](const permit_queued& reply) { permits_.OnReply(from, reply); },
          [&](const permit_refused& reply) { permits_.OnReply(from, reply); },
          [&](const coordinator_claim& claim) {
            callbacks_.on_coordinator_claim(from, claim);
          },
          [&](const coordinator_yield& yield) {
            callbacks_.on_coordinator_yield(from, yield);
          },
          [&](const fleet_update_request& request) {
            callbacks_.on_update_request(from, request);
          },
          [&](const fleet_update& update) {
            callbacks_.on_update(from, update);
          },
          [&](const endpoint_leaving& leaving) {
            callbacks_.on_endpoint_leaving(leaving.endpoint);
          },
          [&](const auto&) {
            log_event(log_level::kWarn, "unexpected message dropped")
                .With("peer", from.ToString())
                .Write();
          }},
      message);
}

void traffic_server::SendPeer(const address& to, const wire_message& message) {
  asio::post(*io_, [this, to, message] { peers_->Send(to, message); });
}

void traffic_server::SetUnservedRanges(
    const service_name& service,
    const std::vector<unserved_range>& unserved) {
  asio::post(*io_, [this, service, unserved] {
    permit_dispatcher_.SetUnservedRanges(service, unserved, BootNow());
  });
}

void traffic_server::Measure(const service_name& service,
                             std::function<void(measured_load load)> done) {
  asio::post(*io_, [this, service, done = std::move(done)] {
    const instant now = BootNow();
    measured_load load;
    load.service = service;
    if (const slot_scheduler* scheduler =
            permit_dispatcher_.FindScheduler(service)) {
      load.keys = scheduler->KeyLoads(now);
      load.capacities = scheduler->Capacities();
    }
    done(std::move(load));
  });
}

void traffic_server::BeginShutdown(const shutdown_window& window) {
  asio::post(*io_, [this, window] {
    shutting_down_ = true;
    connection_state_->stopping = true;
    server_.BeginShutdown(window);
    permits_.BeginShutdown(window);
  });
}

void traffic_server::StopAccepting() {
  asio::post(*io_, [this] {
    caller_listener_->Close();
    for (const auto& each : caller_connections_) {
      if (const auto connection = each.lock()) {
        connection->CloseIfIdle();
      }
    }
  });
}

void traffic_server::CountActive(std::function<void(std::size_t active)> done) {
  asio::post(*io_, [this, done = std::move(done)] {
    done(connection_state_->busy_count);
  });
}

}  // namespace bluebell
