#include "bluebell/daemon/traffic_shard.h"

#include <boost/asio/post.hpp>
#include <string>
#include <utility>

#include "bluebell/entry/dispatch_gateway.h"
#include "bluebell/runtime/clock.h"
#include "bluebell/telemetry/metrics_registry.h"

namespace bluebell {

namespace {

// How often pressure is reported within the daemon. Entry routers choose
// between endpoints by these reports. 20 ms is a few service times.
constexpr milliseconds kPressureInterval{20};
// Every fifth pressure report is also sent to other daemons: one per 100 ms.
constexpr unsigned kPressureReportsPerRemoteReport = 5;
// The load is reported with every 50th pressure report: once per second.
constexpr unsigned kPressureReportsPerLoadReport = 50;

caller_limits LimitsOf(const daemon_settings& settings) {
  caller_limits limits;
  limits.max_body_bytes = settings.max_body_bytes;
  limits.max_header_bytes = settings.max_header_bytes;
  return limits;
}

}  // namespace

traffic_shard::traffic_shard(const daemon_settings& settings,
                             std::size_t index,
                             dispatch_gateway& gateway,
                             metrics_registry& metrics,
                             const traffic_hooks& hooks)
    : index_(index),
      hooks_(hooks),
      thread_("traffic " + std::to_string(index)),
      load_(Now()),
      context_{&thread_.io(), &metrics, &load_, settings.timing,
               hooks.report_exchange},
      dispatchers_(context_,
                   index,
                   settings.traffic_threads,
                   [this](const ledger_handover& handover) {
                     forwarder_.SendLedger(handover.to, handover.ledger);
                   }),
      forwarder_(context_),
      router_(context_, index, gateway, 1),
      callers_(context_, LimitsOf(settings), router_),
      reports_(thread_.io()) {
  gateway.AddLane({&thread_.io(), &dispatchers_, &forwarder_});
}

void traffic_shard::Start() {
  ScheduleReports();
  thread_.Start();
}

void traffic_shard::ScheduleReports() {
  reports_.expires_after(kPressureInterval);
  reports_.async_wait([this](boost::system::error_code failure) {
    if (!failure) {
      Report();
      ScheduleReports();
    }
  });
}

void traffic_shard::Report() {
  const instant now = Now();
  const std::vector<pressure_update> updates = dispatchers_.Pressures(now);
  if (!updates.empty()) {
    hooks_.share_pressures(updates);
    if (report_count_ % kPressureReportsPerRemoteReport == 0) {
      forwarder_.SharePressures(updates);
    }
  }
  if (++report_count_ % kPressureReportsPerLoadReport == 0) {
    hooks_.report_load(index_, load_.Take(now));
  }
}

void traffic_shard::Publish(std::shared_ptr<const routing_snapshot> snapshot) {
  boost::asio::post(io(), [this, published = std::move(snapshot)] {
    // The dispatchers come first, because the router sends requests to them as
    // soon as it has the new snapshot.
    dispatchers_.Adopt(published);
    router_.Adopt(published);
  });
}

void traffic_shard::Take(boost::asio::ip::tcp::socket socket) {
  boost::asio::post(io(), [this, accepted = std::move(socket)]() mutable {
    callers_.Take(std::move(accepted));
  });
}

void traffic_shard::Drain() {
  boost::asio::post(io(), [this] { callers_.Drain(); });
}

bool traffic_shard::IsIdle() const {
  return callers_.sessions() == 0 && router_.pending() == 0 &&
         dispatchers_.IsIdle();
}

void traffic_shard::Stop() {
  thread_.Stop();
}

}  // namespace bluebell
