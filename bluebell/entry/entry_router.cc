#include "bluebell/entry/entry_router.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "bluebell/core/overloaded.h"
#include "bluebell/entry/dispatch_gateway.h"
#include "bluebell/runtime/clock.h"
#include "bluebell/runtime/invariant.h"
#include "bluebell/telemetry/metric.h"
#include "bluebell/telemetry/metrics_registry.h"

namespace bluebell {

namespace {

constexpr unsigned kThreadBits = 8;
constexpr std::uint32_t kDefaultRetryPercent = 10;

}  // namespace

struct entry_router::exchange {
  exchange(std::shared_ptr<const caller_request> asked, outcome_sink owed)
      : request(std::move(asked)), sink(std::move(owed)) {}

  std::shared_ptr<const caller_request> request;
  outcome_sink sink;
  routing_progress progress;
  // Where the current attempt went; empty while waiting.
  std::optional<order_target> sent_to;
  bool forwarded = false;
  // Only while waiting.
  std::unique_ptr<boost::asio::steady_timer> timer;
};

entry_router::entry_router(traffic_context context,
                           std::size_t index,
                           dispatch_gateway& gateway,
                           std::uint32_t log_one_in)
    : context_(std::move(context)),
      index_(index),
      gateway_(&gateway),
      decisions_(log_one_in),
      random_(std::random_device()()) {}

entry_router::~entry_router() = default;

void entry_router::Adopt(std::shared_ptr<const routing_snapshot> snapshot) {
  snapshot_ = std::move(snapshot);
  pressures_.RemoveOutdated(Now());
  for (auto& [service, budget] : budgets_) {
    const auto routes = snapshot_->services.find(service);
    if (routes != snapshot_->services.end()) {
      budget.Configure(routes->second.values.retry_budget_percent);
    }
  }
  std::vector<std::uint64_t> tickets;
  for (const auto& [ticket, since] : waiting_) {
    tickets.push_back(ticket);
  }
  for (const std::uint64_t ticket : tickets) {
    OnWaitEnd(ticket);
  }
}

void entry_router::OnPressure(const pressure_update& update) {
  pressures_.Update(update, Now());
}

retry_budget& entry_router::BudgetOf(const service_name& service) {
  return budgets_.try_emplace(service, kDefaultRetryPercent).first->second;
}

std::uint64_t entry_router::Submit(
    std::shared_ptr<const caller_request> request,
    outcome_sink sink) {
  const std::uint64_t ticket = (next_ticket_++ << kThreadBits) | index_;
  auto added = std::make_unique<exchange>(std::move(request), std::move(sink));
  added->progress.idempotent = added->request->idempotent;
  added->progress.deadline = added->request->deadline;
  BudgetOf(added->request->service).CountFirstAttempt(Now());
  exchanges_.emplace(ticket, std::move(added));
  RouteOne(ticket);
  return ticket;
}

void entry_router::RouteOne(std::uint64_t ticket) {
  const auto found = exchanges_.find(ticket);
  if (found == exchanges_.end()) {
    return;
  }
  const caller_request& request = *found->second->request;
  if (!snapshot_) {
    End(ticket, not_run{not_run_reason::kNoEndpoint,
                        "the daemon has no routes yet", milliseconds(100)});
    return;
  }
  const instant now = Now();
  const route_decision decision = Route(
      *snapshot_, request,
      [&](const endpoint_instance& instance, rank priority) {
        return pressures_.ExpectedWait(instance, priority, now);
      },
      random_(), now);
  decisions_.Record(request, decision);
  std::visit(
      overloaded{[&](const dispatch_here& v) { Send(ticket, v.target, false); },
                 [&](const forward_to& v) { Send(ticket, v.target, true); },
                 [&](const wait_for_owner&) { Wait(ticket, std::nullopt); },
                 [&](const reject_request& v) { OnRejected(ticket, v.why); }},
      decision);
}

void entry_router::OnRejected(std::uint64_t ticket, const not_run& why) {
  const bool unproven = exchanges_.at(ticket)->progress.unproven;
  if (unproven) {
    End(ticket,
        unknown{unknown_reason::kDispatcherLost,
                "an earlier attempt may have run; then: " + why.detail});
  } else {
    End(ticket, why);
  }
}

bool entry_router::WouldBeLate(const exchange& waiting,
                               const order_target& target,
                               instant now) const {
  const caller_request& request = *waiting.request;
  const duration wait =
      pressures_.ExpectedWait(target.endpoint.instance, request.priority, now);
  return now + wait > request.deadline;
}

void entry_router::Send(std::uint64_t ticket,
                        const order_target& target,
                        bool forward) {
  exchange& sending = *exchanges_.at(ticket);
  const instant now = Now();
  // The dispatcher would refuse it too; refusing here spares the way there.
  if (forward && WouldBeLate(sending, target, now)) {
    OnRejected(
        ticket,
        {not_run_reason::kOverloaded,
         "the wait at the endpoint exceeds the deadline",
         std::chrono::ceil<milliseconds>(pressures_.ExpectedWait(
             target.endpoint.instance, sending.request->priority, now))});
    return;
  }
  sending.sent_to = target;
  sending.forwarded = forward;
  const std::uint32_t attempt = ++sending.progress.routes;
  pressures_.CountSent(target.endpoint.instance);
  outcome_sink sink(
      sending.request->id, *context_.metrics,
      [this, ticket, attempt](const request_id& id, request_outcome outcome) {
        OnOutcome(ticket, attempt, id, std::move(outcome));
      });
  if (forward) {
    context_.metrics->Add(metric::kForwards,
                          {sending.request->service.value()});
    gateway_->Forward(index_, target,
                      {sending.request, ticket, std::move(sink)});
  } else {
    gateway_->Dispatch(index_, target.endpoint.instance,
                       {sending.request, ticket, std::move(sink)});
  }
}

void entry_router::Wait(std::uint64_t ticket, std::optional<duration> delay) {
  exchange& resting = *exchanges_.at(ticket);
  const instant deadline = resting.request->deadline;
  const instant until = delay ? std::min(Now() + *delay, deadline) : deadline;
  resting.sent_to.reset();
  waiting_[ticket] = until;
  resting.timer =
      std::make_unique<boost::asio::steady_timer>(*context_.io, until);
  resting.timer->async_wait([this, ticket](boost::system::error_code failure) {
    if (!failure) {
      OnWaitEnd(ticket);
    }
  });
}

void entry_router::OnWaitEnd(std::uint64_t ticket) {
  waiting_.erase(ticket);
  const auto found = exchanges_.find(ticket);
  if (found != exchanges_.end()) {
    found->second->timer.reset();
    RouteOne(ticket);
  }
}

void entry_router::OnOutcome(std::uint64_t ticket,
                             std::uint32_t attempt,
                             const request_id& id,
                             request_outcome outcome) {
  const auto found = exchanges_.find(ticket);
  if (found == exchanges_.end() || found->second->progress.routes != attempt ||
      !found->second->sent_to) {
    context_.metrics->Add(metric::kLateAnswersDropped, {"dispatcher"});
    return;
  }
  exchange& ended = *found->second;
  if (id != ended.request->id) {
    ReportViolation(
        *context_.metrics, invariant::kOwnAnswer, id,
        "an outcome arrived for the request " + ended.request->id.ToString());
    End(ticket, unknown{unknown_reason::kConnectionLost,
                        "the answer belongs to another request"});
    return;
  }
  reroute_decision next = AfterOutcome(ended.progress, std::move(outcome),
                                       Now(), BudgetOf(ended.request->service));
  std::visit(overloaded{[&](const route_again& again) {
                          ended.progress.unproven = again.unproven;
                          Wait(ticket, again.delay);
                        },
                        [&](deliver_outcome& last) {
                          End(ticket, std::move(last.outcome));
                        }},
             next);
}

void entry_router::Abandon(std::uint64_t ticket) {
  const auto found = exchanges_.find(ticket);
  if (found == exchanges_.end()) {
    return;
  }
  const exchange& gone = *found->second;
  if (gone.sent_to && !gone.forwarded) {
    gateway_->Abandon(gone.sent_to->endpoint.instance, gone.request->id,
                      ticket);
  }
  End(ticket, unknown{unknown_reason::kNoAnswerInTime, "the caller is gone"});
}

void entry_router::End(std::uint64_t ticket, request_outcome outcome) {
  auto node = exchanges_.extract(ticket);
  waiting_.erase(ticket);
  exchange& ended = *node.mapped();
  decisions_.RecordOutcome(*ended.request, outcome);
  ended.sink.Deliver(std::move(outcome));
}

}  // namespace bluebell
