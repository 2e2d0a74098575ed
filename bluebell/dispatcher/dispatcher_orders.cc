// The part of the dispatcher that handles orders from the queue to their end.

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include "bluebell/core/overloaded.h"
#include "bluebell/dispatcher/dispatcher.h"
#include "bluebell/dispatcher/order_attempt.h"
#include "bluebell/dispatcher/order_cancel.h"
#include "bluebell/endpoint/endpoint_pool.h"
#include "bluebell/runtime/clock.h"
#include "bluebell/runtime/invariant.h"
#include "bluebell/runtime/load_meter.h"
#include "bluebell/telemetry/metric.h"
#include "bluebell/telemetry/metrics_registry.h"

namespace bluebell {

namespace {

// An answer is overdue after kSilenceFactor times the mean service time, but
// not before this time.
constexpr milliseconds kMinSilenceTimeout{500};
constexpr int kSilenceFactor = 10;
// The weight of a new sample in the mean service time is 1 / kMeanSamples.
constexpr int kMeanSamples = 16;
// The shortest interval between reports to the control thread that an endpoint
// answers.
constexpr milliseconds kObservationInterval{50};

bool IsProofOfNotRun(const attempt_end& end) {
  return std::visit(overloaded{[](const reply_read& v) {
                                 return v.reply.refusal.has_value();
                               },
                               [](const not_written&) { return true; },
                               [](const not_permitted&) { return true; },
                               [](const cancelled_before_run&) { return true; },
                               [](const auto&) { return false; }},
                    end);
}

// What the end of an attempt shows about the endpoint; no value if it shows
// nothing.
std::optional<exchange_observed> Observe(const endpoint_instance& instance,
                                         const attempt_end& end) {
  return std::visit(
      overloaded{[&](const reply_read& v) -> std::optional<exchange_observed> {
                   return exchange_observed{
                       instance, v.reply.from == instance,
                       v.reply.refusal == order_refusal::kDraining};
                 },
                 [&](const not_written&) -> std::optional<exchange_observed> {
                   return exchange_observed{instance, false, false};
                 },
                 [&](const reply_missing&) -> std::optional<exchange_observed> {
                   return exchange_observed{instance, false, false};
                 },
                 [](const auto&) -> std::optional<exchange_observed> {
                   return std::nullopt;
                 }},
      end);
}

}  // namespace

void dispatcher::ProcessQueue() {
  // EndOrder() may submit another request before it returns. The loop below
  // then starts that one too.
  if (std::exchange(processing_queue_, true)) {
    return;
  }
  const instant now = Now();
  for (const queued_request& request : queue_.TakeExpired(now)) {
    const bool has_expired = request.deadline <= now;
    EndOrder(request.id,
             {not_run{has_expired ? not_run_reason::kDeadlineExpired
                                  : not_run_reason::kOverloaded,
                      "waited in the queue in vain", milliseconds(0)},
              failed{}, false});
  }
  while (const auto next = queue_.StartNext(now)) {
    Start(next->id);
  }
  processing_queue_ = false;
  ScheduleWakeup(now);
}

void dispatcher::ScheduleWakeup(instant now) {
  const std::optional<instant> next = queue_.next_wakeup(now);
  // A timer that expires too early has no effect. Setting it anew with every
  // request would cost more.
  if (!next || (wakeup_at_ && *wakeup_at_ <= *next)) {
    return;
  }
  wakeup_at_ = next;
  wakeup_.expires_at(*next);
  wakeup_.async_wait(
      [self = weak_from_this()](boost::system::error_code failure) {
        const auto alive = self.lock();
        if (!failure && alive) {
          alive->wakeup_at_.reset();
          alive->ProcessQueue();
        }
      });
}

void dispatcher::Start(const request_id& id) {
  const auto found = orders_.find(id);
  if (found == orders_.end()) {
    queue_.Finish(id, failed{}, Now());
    return;
  }
  found->second.has_slot = true;
  budget_.CountFirstAttempt(Now());
  StartAttempt(found->second);
}

void dispatcher::StartAttempt(order& started) {
  const request_id id = started.request->id;
  ++started.progress.attempts;
  started.attempt_unproven = false;
  const duration silence_timeout =
      std::max<duration>(kMinSilenceTimeout, kSilenceFactor * service_time_);
  attempt_plan plan{started.request, claim_.epoch(),
                    [this, id](instant now) { return BeforeWrite(id, now); },
                    silence_timeout};
  // The attempt and the order may end before Begin() returns.
  const auto attempt = std::make_shared<order_attempt>(
      *context_.io, pool_, std::move(plan),
      [self = weak_from_this(), id](const attempt_end& end) {
        if (const auto alive = self.lock()) {
          alive->OnAttemptEnd(id, end);
        }
      });
  started.attempt = attempt;
  attempt->Begin();
}

order_permission dispatcher::BeforeWrite(const request_id& id, instant now) {
  order& writing = orders_.at(id);
  order_permission permission = CheckOrderPermission(
      *snapshot_, instance_, *writing.request, writing.where, now);
  const auto* target = std::get_if<order_target>(&permission);
  if (target == nullptr) {
    return permission;
  }
  if (!writing.progress.idempotent && writing.progress.unproven > 0) {
    ReportViolation(*context_.metrics, invariant::kWrittenOnce, id,
                    "a second write of a request that isn't idempotent");
    return not_run{not_run_reason::kEndpointUnreachable,
                   "it was written before", milliseconds(0)};
  }
  ++writing.progress.unproven;
  writing.attempt_unproven = true;
  writing.target = *target;
  context_.metrics->Add(metric::kOrdersWritten, {service_.value()});
  return permission;
}

void dispatcher::OnAttemptEnd(const request_id& id, const attempt_end& end) {
  const auto found = orders_.find(id);
  if (found == orders_.end()) {
    return;
  }
  order& current = found->second;
  RecordAttemptEnd(current, end);
  const next_step next = AfterAttempt(current.progress, end, Now(), budget_);
  std::visit(overloaded{[&](const send_again&) {
                          context_.metrics->Add(metric::kRetries,
                                                {service_.value()});
                          current.attempt->Abandon();
                          StartAttempt(current);
                        },
                        [&](const requeue&) { Requeue(current); },
                        [](const keep_waiting&) {},
                        [&](const end_order& last) { EndOrder(id, last); }},
             next);
}

void dispatcher::RecordAttemptEnd(order& ended, const attempt_end& end) {
  if (IsProofOfNotRun(end) && std::exchange(ended.attempt_unproven, false)) {
    --ended.progress.unproven;
  }
  if (const auto* reply = std::get_if<reply_read>(&end)) {
    RecordReply(ended, *reply);
  }
  const auto observed = Observe(instance_, end);
  const instant now = Now();
  const bool must_report =
      observed && (!observed->answered || observed->draining ||
                   now - observed_at_ >= kObservationInterval);
  if (must_report) {
    observed_at_ = now;
    context_.report_exchange(*observed);
  }
}

void dispatcher::RecordReply(const order& ended, const reply_read& end) {
  const request_id& id = ended.request->id;
  if (end.reply.refusal == order_refusal::kStaleDispatcher) {
    if (const auto renewed = claim_.Renewed(WallNow()); renewed && !retired_) {
      Claim(*renewed);
    }
  }
  if (!end.reply.refusal && end.reply.from != instance_) {
    ReportViolation(*context_.metrics, invariant::kAskedInstance, id,
                    "an answer names another instance than the one asked");
  }
  if (KindOf(end.reply.outcome) != outcome_kind::kAnswer) {
    return;
  }
  service_time_ += (end.service_time - service_time_) / kMeanSamples;
  if (ended.where && ended.target && ended.target->range) {
    context_.load->Add(service_, ended.target->range->first, *ended.where,
                       end.service_time);
  }
}

void dispatcher::Requeue(order& shed_order) {
  const auto request = shed_order.request;
  shed_order.attempt.reset();
  ReleaseSlot(shed_order, shed{});
  shed_order.has_slot = false;
  if (const auto refusal = Enqueue(*request, Now())) {
    EndOrder(request->id, {*refusal, shed{}, false});
    return;
  }
  ProcessQueue();
}

void dispatcher::ReleaseSlot(const order& ended, const completion& how) {
  if (ended.has_slot) {
    queue_.Finish(ended.request->id, how, Now());
  }
}

request_outcome dispatcher::CheckedOutcome(const order& ended,
                                           request_outcome outcome) const {
  if (KindOf(outcome) != outcome_kind::kNotRun ||
      ended.progress.unproven == 0) {
    return outcome;
  }
  ReportViolation(*context_.metrics, invariant::kNotRunProven,
                  ended.request->id, "not_run after an unproven attempt");
  return unknown{unknown_reason::kConnectionLost, "an attempt may have run"};
}

void dispatcher::EndOrder(const request_id& id, const end_order& end) {
  auto node = orders_.extract(id);
  if (node.empty()) {
    return;
  }
  order& ended = node.mapped();
  if (ended.attempt) {
    ended.attempt->Abandon();
  }
  ReleaseSlot(ended, end.how);
  const request_outcome outcome = CheckedOutcome(ended, end.outcome);
  ledger_.End(id, outcome);
  if (end.cancel && ended.target) {
    CancelOrder(*context_.io, pool_, id, instance_, where_, [](bool) {});
  }
  for (waiter& waiting_party : ended.waiters) {
    waiting_party.sink.Deliver(outcome);
  }
  ProcessQueue();
}

void dispatcher::RefuseQueued(const request_id& id, not_run why) {
  queue_.Withdraw(id);
  EndOrder(id, {std::move(why), failed{}, false});
}

void dispatcher::CancelRunning(const order& unwanted) {
  const request_id id = unwanted.request->id;
  CancelOrder(*context_.io, pool_, id, instance_, where_,
              [self = weak_from_this(), id](bool proven_not_run) {
                const auto alive = self.lock();
                if (proven_not_run && alive) {
                  alive->OnAttemptEnd(id, cancelled_before_run{});
                }
              });
}

}  // namespace bluebell
