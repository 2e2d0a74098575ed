#include "bluebell/proxy/permit_desk.h"

#include <algorithm>
#include <utility>
#include <variant>

#include <boost/asio/io_context.hpp>

#include "bluebell/core/boot_clock.h"
#include "bluebell/telemetry/log_event.h"

namespace bluebell {

namespace {

permit_id IdOf(const permit_reply& reply) {
  return std::visit([](const auto& each) { return each.id; }, reply);
}

}  // namespace

permit_desk::permit_desk(boost::asio::io_context& io) : io_(io) {}

void permit_desk::SetView(const fleet_view& view, instant now) {
  if (!view->config) {
    return;
  }
  endpoints_revision_ = view->endpoints_revision;
  for (const fleet_service& service : view->config->services()) {
    std::unique_ptr<service_line>& line = lines_[service.name];
    if (!line) {
      line = std::make_unique<service_line>(io_, service.name);
    }
    const auto table = view->tables.find(service.name);
    static const key_table no_owners;
    const key_table* owners = nullptr;
    if (service.keyed) {
      owners = table == view->tables.end() ? &no_owners : &table->second;
    }
    line->scheduler.SetEndpoints(view->EndpointsOf(service.name), owners, now);
    Pump(*line, now);
  }
}

permit_desk::service_line* permit_desk::FindLine(const service_name& service) {
  const auto found = lines_.find(service);
  return found == lines_.end() ? nullptr : found->second.get();
}

const slot_scheduler* permit_desk::Find(const service_name& service) const {
  const auto found = lines_.find(service);
  return found == lines_.end() ? nullptr : &found->second->scheduler;
}

void permit_desk::SetUnheld(const service_name& service,
                            const std::vector<unserved_range>& unheld,
                            instant now) {
  if (service_line* line = FindLine(service)) {
    line->scheduler.SetUnheld(unheld, now);
    Pump(*line, now);
  }
}

void permit_desk::Ask(const permit_request& ask, reply_sink sink, instant now) {
  service_line* line = FindLine(ask.service);
  if (line == nullptr) {
    sink(permit_refused{ask.id, permit_refusal::kNoEndpoint, 0});
    return;
  }
  line->sinks.insert_or_assign(ask.id, std::move(sink));
  line->scheduler.Ask(ask, now);
  Pump(*line, now);
}

void permit_desk::End(const permit_release& release, instant now) {
  if (service_line* line = FindLine(release.service)) {
    line->sinks.erase(release.id);
    line->scheduler.End(release, now);
    Pump(*line, now);
  }
}

void permit_desk::Report(const permit_report& report, instant now) {
  if (service_line* line = FindLine(report.service)) {
    line->scheduler.Report(report, now);
    Pump(*line, now);
  }
}

void permit_desk::Pump(service_line& line, instant now) {
  for (permit_reply& reply : line.scheduler.TakeReplies(now)) {
    if (auto* granted = std::get_if<permit_granted>(&reply)) {
      granted->endpoints_revision = endpoints_revision_.value();
    }
    const auto found = line.sinks.find(IdOf(reply));
    if (found == line.sinks.end()) {
      continue;
    }
    const reply_sink sink = found->second;
    LogRefusal(line, reply);
    if (!std::holds_alternative<permit_queued>(reply)) {
      line.sinks.erase(found);
    }
    sink(reply);
  }
  ScheduleWakeup(line, now);
}

void permit_desk::LogRefusal(const service_line& line,
                             const permit_reply& reply) const {
  const auto* refused = std::get_if<permit_refused>(&reply);
  if (refused == nullptr) {
    return;
  }
  log_event(log_level::kInfo, "permit refused")
      .With("permit", refused->id.number)
      .With("holder", refused->id.holder)
      .With("service", line.scheduler.service())
      .With("reason", Describe(refused->reason))
      .With("retry_after_ms", refused->retry_after_ms)
      .With("waiting", line.scheduler.waiting_count())
      .With("running", line.scheduler.running_count())
      .With("endpoints_revision", endpoints_revision_)
      .Write();
}

void permit_desk::ScheduleWakeup(service_line& line, instant now) {
  const auto next = line.scheduler.NextWakeup();
  if (!next || (line.wakeup && *line.wakeup <= *next)) {
    return;
  }
  constexpr milliseconds kMinTimerDelay{1};
  line.wakeup = next;
  line.timer.expires_after(std::max<duration>(kMinTimerDelay, *next - now));
  line.timer.async_wait([this, &line](boost::system::error_code cancelled) {
    if (!cancelled) {
      line.wakeup.reset();
      Pump(line, BootNow());
    }
  });
}

}  // namespace bluebell
