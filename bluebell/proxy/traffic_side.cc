#include "bluebell/proxy/traffic_side.h"

#include <utility>
#include <variant>

#include <boost/asio/post.hpp>

#include "bluebell/core/boot_clock.h"
#include "bluebell/core/overloaded.h"
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

}  // namespace

result<std::unique_ptr<traffic_side>> traffic_side::Start(
    const gateway_settings& settings,
    const daemon_instance& self,
    metrics_registry& metrics,
    const traffic_side_hooks& hooks) {
  auto io = std::make_unique<asio::io_context>(1);
  auto peers = peer_socket::Open(*io, settings.peer_listen);
  if (!peers) {
    return peers.error();
  }
  std::unique_ptr<traffic_side> server(new traffic_side(
      settings, self, metrics, hooks, std::move(io), std::move(peers.value())));
  const result<bool> open = server->OpenListeners();
  if (!open) {
    return open.error();
  }
  server->peers_->Start([target = server.get()](const address& from,
                                                const wire_message& message) {
    target->OnMessage(from, message);
  });
  server->permits_.StartReports();
  server->ScheduleCleaning();
  server->thread_ =
      std::thread([target = server.get()] { target->io_->run(); });
  return server;
}

traffic_side::traffic_side(gateway_settings settings,
                           const daemon_instance& self,
                           metrics_registry& metrics,
                           traffic_side_hooks hooks,
                           std::unique_ptr<asio::io_context> io,
                           std::unique_ptr<peer_socket> peers)
    : settings_(std::move(settings)),
      metrics_(metrics),
      hooks_(std::move(hooks)),
      io_(std::move(io)),
      work_(asio::make_work_guard(*io_)),
      peers_(std::move(peers)),
      desk_(*io_),
      permits_(*io_, self, *peers_, desk_),
      channels_(*io_),
      server_(settings_, permits_, channels_, metrics_),
      caller_state_(std::make_shared<caller_state>()),
      cleaning_(*io_) {}

traffic_side::~traffic_side() {
  io_->stop();
  if (thread_.joinable()) {
    thread_.join();
  }
  // Suspended coroutines still refer to the members declared before these.
  listener_.reset();
  ready_page_.reset();
  metrics_page_.reset();
}

result<bool> traffic_side::OpenListeners() {
  auto listener = tcp_listener::Open(*io_, settings_.caller_listen);
  if (!listener) {
    return listener.error();
  }
  listener_ = std::move(listener.value());
  listener_->Start(
      [this](asio::ip::tcp::socket socket) { AddCaller(std::move(socket)); });
  auto ready = page_server::Open(
      *io_, settings_.ready_listen,
      [this](const http_request& request) { return AnswerReadiness(request); });
  if (!ready) {
    return ready.error();
  }
  ready_page_ = std::move(ready.value());
  auto pages = page_server::Open(
      *io_, settings_.metrics_listen, [this](const http_request&) {
        return platform::MakeOwnResponse(kOk, metrics_.Expose(), {},
                                         std::nullopt);
      });
  if (!pages) {
    return pages.error();
  }
  metrics_page_ = std::move(pages.value());
  return true;
}

http_response traffic_side::AnswerReadiness(const http_request& request) const {
  if (!platform::IsReadinessQuestion(request)) {
    return platform::MakeOwnResponse(kNotFound, "no such page", {},
                                     std::nullopt);
  }
  const bool ready = !leaving_ && view_ && view_->config;
  return platform::MakeOwnResponse(ready ? kOk : kUnavailable,
                                   ready ? "ready" : "not ready", {},
                                   std::nullopt);
}

void traffic_side::AddCaller(asio::ip::tcp::socket socket) {
  auto connection = std::make_shared<caller_connection>(std::move(socket),
                                                        server_, caller_state_);
  callers_.push_back(connection);
  connection->Start();
}

void traffic_side::ScheduleCleaning() {
  cleaning_.expires_after(kCleaningInterval);
  cleaning_.async_wait([this](boost::system::error_code cancelled) {
    if (cancelled) {
      return;
    }
    channels_.DropIdle(BootNow());
    std::erase_if(callers_, [](const std::weak_ptr<caller_connection>& each) {
      return each.expired();
    });
    ScheduleCleaning();
  });
}

void traffic_side::Publish(const fleet_view& view) {
  asio::post(*io_, [this, view] { Adopt(view); });
}

void traffic_side::Adopt(const fleet_view& view) {
  view_ = view;
  if (view_->config) {
    caller_state_->bounds = view_->config->bounds();
  }
  permits_.SetView(view_);
  server_.SetView(view_);
  desk_.SetView(view_, BootNow());
}

bool traffic_side::CanDispatch() const {
  // A daemon that has just started may not have reached the store yet. It
  // leaves permit messages unanswered, so that the requesters use another
  // dispatcher.
  return view_ && view_->config;
}

void traffic_side::OnMessage(const address& from, const wire_message& message) {
  const instant now = BootNow();
  std::visit(
      overloaded{
          [&](const permit_request& request) {
            if (!CanDispatch()) {
              return;
            }
            desk_.Ask(
                request,
                [this, from](const permit_reply& reply) {
                  std::visit(
                      [&](const auto& each) { peers_->Send(from, each); },
                      reply);
                },
                now);
          },
          [&](const permit_release& release) { desk_.End(release, now); },
          [&](const permit_report& report) {
            if (!CanDispatch()) {
              return;
            }
            desk_.Report(report, now);
            const std::uint64_t own = view_->revision.value();
            peers_->Send(from, permit_report_ack{report.service, own});
            if (report.revision > own) {
              hooks_.newer_revision(report.revision);
            }
          },
          [&](const permit_report_ack& ack) {
            permits_.OnReportAck(from, ack);
            if (view_ && ack.revision > view_->revision.value()) {
              hooks_.newer_revision(ack.revision);
            }
          },
          [&](const permit_granted& reply) { permits_.OnReply(from, reply); },
          [&](const permit_queued& reply) { permits_.OnReply(from, reply); },
          [&](const permit_refused& reply) { permits_.OnReply(from, reply); },
          [&](const coordinator_claim& claim) { hooks_.claimed(from, claim); },
          [&](const coordinator_yield& yield) { hooks_.yielded(from, yield); },
          [&](const auto&) {
            log_event(log_level::kWarn, "unexpected message dropped")
                .With("peer", from.ToString())
                .Write();
          }},
      message);
}

void traffic_side::SendPeer(const address& to, const wire_message& message) {
  asio::post(*io_, [this, to, message] { peers_->Send(to, message); });
}

void traffic_side::SetUnheld(const service_name& service,
                             const std::vector<unserved_range>& unheld) {
  asio::post(*io_, [this, service, unheld] {
    desk_.SetUnheld(service, unheld, BootNow());
  });
}

void traffic_side::Measure(const service_name& service,
                           std::function<void(measured_load load)> done) {
  asio::post(*io_, [this, service, done = std::move(done)] {
    const instant now = BootNow();
    measured_load load;
    load.service = service;
    if (const slot_scheduler* scheduler = desk_.Find(service)) {
      load.keys = scheduler->KeyLoads(now);
      load.capacities = scheduler->Capacities();
    }
    done(std::move(load));
  });
}

void traffic_side::BeginShutdown() {
  asio::post(*io_, [this] {
    leaving_ = true;
    caller_state_->closing = true;
    server_.BeginShutdown();
  });
}

void traffic_side::StopAccepting() {
  asio::post(*io_, [this] {
    listener_->Close();
    for (const auto& each : callers_) {
      if (const auto connection = each.lock()) {
        connection->CloseIfIdle();
      }
    }
  });
}

void traffic_side::CountActive(std::function<void(std::size_t active)> done) {
  asio::post(*io_, [this, done = std::move(done)] { done(server_.active()); });
}

}  // namespace bluebell
