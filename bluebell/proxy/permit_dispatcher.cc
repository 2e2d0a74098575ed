#include "bluebell/proxy/permit_dispatcher.h"

#include <algorithm>
#include <cmath>
#include <string_view>
#include <utility>
#include <variant>

#include <boost/asio/io_context.hpp>

#include "bluebell/core/boot_clock.h"
#include "bluebell/permits/admission_policy.h"
#include "bluebell/permits/cold_start_bound.h"
#include "bluebell/permits/dispatcher_order.h"
#include "bluebell/permits/domain_policy.h"
#include "bluebell/telemetry/log_event.h"
#include "bluebell/telemetry/metric.h"
#include "bluebell/telemetry/metrics_registry.h"

namespace bluebell {

namespace {

constexpr double kPercent = 100;

permit_id IdOf(const permit_reply& reply) {
  return std::visit([](const auto& each) { return each.id; }, reply);
}

}  // namespace

permit_dispatcher::permit_dispatcher(boost::asio::io_context& io,
                                     daemon_instance self,
                                     warmup_allowance allowance,
                                     std::uint32_t cross_domain_price_ms_per_mb,
                                     metrics_registry& metrics)
    : io_(io),
      self_(std::move(self)),
      allowance_(allowance),
      cross_domain_price_ms_per_mb_(cross_domain_price_ms_per_mb),
      metrics_(metrics) {}

void permit_dispatcher::SetView(const fleet_view& view, instant now) {
  if (!view->config) {
    return;
  }
  endpoints_revision_ = view->endpoints_revision;
  const admission_policy policy = AdmissionPolicyFor(*view->config);
  for (const fleet_service& service : view->config->services()) {
    std::unique_ptr<service_queue>& queue = queues_[service.name];
    if (!queue) {
      queue = std::make_unique<service_queue>(io_, service.name);
    }
    const auto table = view->tables.find(service.name);
    static const key_table no_owners;
    const key_table* owners = nullptr;
    if (service.keyed) {
      owners = table == view->tables.end() ? &no_owners : &table->second;
    }
    SetColdStart(*queue, service, *view, now);
    queue->scheduler.SetAdmission(policy);
    queue->scheduler.SetDomainPolicy(
        DomainPolicyFor(view->config->takes_uploads(), service.keyed,
                        cross_domain_price_ms_per_mb_));
    queue->scheduler.SetEndpoints(view->EndpointsOf(service.name), owners, now);
    DeliverReplies(*queue, now);
  }
}

void permit_dispatcher::SetColdStart(service_queue& queue,
                                     const fleet_service& service,
                                     const fleet_snapshot& view,
                                     instant now) {
  const auto bound = cold_start_bound::For(service, allowance_);
  bool is_first = false;
  if (bound) {
    const std::vector<fleet_member> order = DispatcherOrder(view, service.name);
    // An entry of an earlier run of this daemon doesn't count.
    is_first = !order.empty() && order.front().instance == self_;
  }
  queue.scheduler.SetColdStart(bound, is_first, now);
}

void permit_dispatcher::ReportColdStartHolds(service_queue& queue) {
  for (const cold_start_hold& hold : queue.scheduler.TakeColdStartHolds()) {
    const service_name& service = queue.scheduler.service();
    metrics_.Add(metric::kColdStartHolds, {service.value()});
    log_event(log_level::kInfo, "requests held back from cold endpoint")
        .With("service", service)
        .With("endpoint", hold.endpoint)
        .With("wait_ms",
              std::chrono::duration_cast<milliseconds>(hold.wait).count())
        .With("issuing", hold.is_issuing)
        .With("waiting", queue.scheduler.waiting_count())
        .Write();
  }
}

permit_dispatcher::service_queue* permit_dispatcher::FindQueue(
    const service_name& service) {
  const auto found = queues_.find(service);
  return found == queues_.end() ? nullptr : found->second.get();
}

const slot_scheduler* permit_dispatcher::FindScheduler(
    const service_name& service) const {
  const auto found = queues_.find(service);
  return found == queues_.end() ? nullptr : &found->second->scheduler;
}

void permit_dispatcher::SetUnservedRanges(
    const service_name& service,
    const std::vector<unserved_range>& unserved,
    instant now) {
  if (service_queue* queue = FindQueue(service)) {
    queue->scheduler.SetUnservedRanges(unserved, now);
    DeliverReplies(*queue, now);
  }
}

void permit_dispatcher::RequestPermit(const permit_request& request,
                                      reply_sink sink,
                                      instant now) {
  service_queue* queue = FindQueue(request.service);
  if (queue == nullptr) {
    sink(permit_refused{request.id, permit_refusal::kNoEndpoint, 0});
    return;
  }
  queue->sinks.insert_or_assign(request.id, std::move(sink));
  queue->scheduler.RequestPermit(request, now);
  DeliverReplies(*queue, now);
}

void permit_dispatcher::ReleasePermit(const permit_release& release,
                                      instant now) {
  if (service_queue* queue = FindQueue(release.service)) {
    queue->sinks.erase(release.id);
    queue->scheduler.ReleasePermit(release, now);
    DeliverReplies(*queue, now);
  }
}

void permit_dispatcher::Report(const permit_report& report, instant now) {
  if (service_queue* queue = FindQueue(report.service)) {
    queue->scheduler.Report(report, now);
    DeliverReplies(*queue, now);
  }
}

void permit_dispatcher::DeliverReplies(service_queue& queue, instant now) {
  for (permit_reply& reply : queue.scheduler.TakeReplies(now)) {
    if (auto* granted = std::get_if<permit_granted>(&reply)) {
      granted->endpoints_revision = endpoints_revision_.value();
    }
    const auto found = queue.sinks.find(IdOf(reply));
    if (found == queue.sinks.end()) {
      continue;
    }
    const reply_sink sink = found->second;
    LogRefusal(queue, reply);
    if (!std::holds_alternative<permit_queued>(reply)) {
      queue.sinks.erase(found);
    }
    sink(reply);
  }
  ReportColdStartHolds(queue);
  CountPromises(queue);
  LogShareChanges(queue);
  ScheduleWakeup(queue, now);
}

void permit_dispatcher::LogShareChanges(service_queue& queue) {
  for (const domain_share_change& each : queue.scheduler.TakeShareChanges()) {
    const auto link_us =
        std::chrono::duration_cast<microseconds>(each.link_time).count();
    log_event(log_level::kInfo, "cross-domain share changed")
        .With("service", queue.scheduler.service())
        .With("from", each.domains.from)
        .With("to", each.domains.to)
        .With("open", each.is_open)
        .With("share_percent", std::lround(each.share * kPercent))
        .With("link_us", link_us)
        .With("loss_percent", std::lround(each.loss * kPercent))
        .Write();
  }
}

void permit_dispatcher::LogRefusal(const service_queue& queue,
                                   const permit_reply& reply) const {
  const auto* refused = std::get_if<permit_refused>(&reply);
  if (refused == nullptr) {
    return;
  }
  log_event(log_level::kInfo, "permit refused")
      .With("permit", refused->id.number)
      .With("holder", refused->id.holder)
      .With("service", queue.scheduler.service())
      .With("reason", Describe(refused->reason))
      .With("retry_after_ms", refused->retry_after_ms)
      .With("promised", refused->promised)
      .With("waiting", queue.scheduler.waiting_count())
      .With("running", queue.scheduler.running_count())
      .With("endpoints_revision", endpoints_revision_)
      .Write();
}

void permit_dispatcher::CountPromises(service_queue& queue) {
  const admission_counts counts = queue.scheduler.promise_counts();
  if (counts == queue.counted) {
    return;
  }
  const admission_counts before = std::exchange(queue.counted, counts);
  const auto count = [&](std::string_view result, auto member) {
    // A change of the policy resets the counts of the scheduler.
    if (counts.*member > before.*member) {
      metrics_.Add(metric::kReturnPromises,
                   {queue.scheduler.service().value(), result},
                   counts.*member - before.*member);
    }
  };
  count("promised", &admission_counts::promised);
  count("kept", &admission_counts::kept);
  count("expired", &admission_counts::expired);
  count("refused_again", &admission_counts::refused_again);
  count("unpromised", &admission_counts::unpromised);
}

void permit_dispatcher::ScheduleWakeup(service_queue& queue, instant now) {
  const auto next = queue.scheduler.NextWakeup();
  if (!next || (queue.wakeup_at && *queue.wakeup_at <= *next)) {
    return;
  }
  constexpr milliseconds kMinTimerDelay{1};
  queue.wakeup_at = next;
  queue.timer.expires_after(std::max<duration>(kMinTimerDelay, *next - now));
  queue.timer.async_wait([this, &queue](boost::system::error_code cancelled) {
    if (!cancelled) {
      queue.wakeup_at.reset();
      DeliverReplies(queue, BootNow());
    }
  });
}

}  // namespace bluebell
