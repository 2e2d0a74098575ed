#include "bluebell/dispatcher/dispatcher.h"

#include <algorithm>
#include <string>
#include <utility>

#include "bluebell/core/overloaded.h"
#include "bluebell/dispatcher/order_attempt.h"
#include "bluebell/endpoint/endpoint_pool.h"
#include "bluebell/routing/ownership_hash.h"
#include "bluebell/runtime/clock.h"

namespace bluebell {

namespace {

ledger_limits LimitsOf(const policy_values& values,
                       const timing_settings& timing) {
  ledger_limits limits;
  limits.max_entries = values.ledger_entries;
  limits.max_clock_error = timing.max_clock_error;
  return limits;
}

not_run RefusalOf(const rejected& verdict) {
  const bool has_expired = verdict.cause == rejection_cause::kDeadlineExpired;
  return {has_expired ? not_run_reason::kDeadlineExpired
                      : not_run_reason::kOverloaded,
          std::string(ToString(verdict.cause)), verdict.retry_after};
}

not_run NotDispatcher() {
  return {not_run_reason::kEndpointUnreachable,
          "this daemon is no longer the endpoint's dispatcher",
          milliseconds(0)};
}

}  // namespace

result<std::shared_ptr<dispatcher>> dispatcher::Make(
    const traffic_context& context,
    const service_name& service,
    const endpoint_instance& instance,
    std::shared_ptr<const routing_snapshot> snapshot) {
  const auto routes = snapshot->services.find(service);
  const endpoint_entry* endpoint = routes == snapshot->services.end()
                                       ? nullptr
                                       : routes->second.FindEndpoint(instance);
  if (endpoint == nullptr) {
    return error(errc::kNotFound, step::kSendOrder, instance.endpoint.value(),
                 "no such endpoint instance");
  }
  auto queue = endpoint_queue::Make(endpoint->slots, endpoint->values, Now());
  if (!queue) {
    return queue.error();
  }
  return std::shared_ptr<dispatcher>(
      new dispatcher(context, service, *endpoint, routes->second.spec,
                     std::move(queue.value()), std::move(snapshot)));
}

dispatcher::dispatcher(traffic_context context,
                       service_name service,
                       const endpoint_entry& endpoint,
                       const service_spec& spec,
                       endpoint_queue queue,
                       std::shared_ptr<const routing_snapshot> snapshot)
    : context_(std::move(context)),
      service_(std::move(service)),
      instance_(endpoint.instance),
      where_(endpoint.where),
      checks_epoch_(spec.checks_epoch),
      snapshot_(std::move(snapshot)),
      queue_(std::move(queue)),
      budget_(endpoint.values.retry_budget_percent),
      claim_(
          dispatch_claim::Make(context_.timing, spec.checks_epoch, WallNow())),
      ledger_(LimitsOf(endpoint.values, context_.timing),
              claim_.complete_from()),
      pool_(std::make_shared<endpoint_pool>(*context_.io,
                                            endpoint.where,
                                            MaxConnectionsFor(spec))),
      wakeup_(*context_.io) {}

dispatcher::~dispatcher() {
  // An attempt calls this object until it is abandoned.
  for (auto& [id, unfinished_order] : orders_) {
    if (unfinished_order.attempt) {
      unfinished_order.attempt->Abandon();
    }
  }
}

void dispatcher::Submit(dispatch_submission submission) {
  if (retired_) {
    submission.sink.Deliver(NotDispatcher());
    return;
  }
  const caller_request& request = *submission.request;
  const ledger_verdict verdict =
      ledger_.Admit(request.id, request.idempotent, WallNow());
  std::visit(
      overloaded{
          [&](const first_arrival&) { SubmitNew(std::move(submission)); },
          [&](const already_running&) { Join(std::move(submission)); },
          [&](const already_ended& ended) {
            submission.sink.Deliver(ended.outcome);
          },
          [&](const may_have_run&) {
            submission.sink.Deliver(
                unknown{unknown_reason::kRepeatOfForgottenRequest,
                        "the request may have run before; it was not sent"});
          },
          [&](const issued_in_future&) {
            submission.sink.Deliver(not_run{
                not_run_reason::kInvalidRequest,
                "Idempotency-Key was issued in the future", milliseconds(0)});
          }},
      verdict);
}

void dispatcher::SubmitNew(dispatch_submission submission) {
  const auto request = submission.request;
  const instant now = Now();
  order new_order;
  new_order.request = request;
  new_order.where = OwnedHashOf(*request);
  new_order.progress.idempotent = request->idempotent;
  new_order.progress.deadline = request->deadline;
  if (!request->idempotent && new_order.where &&
      MayHaveRunElsewhere(*new_order.where, request->id, now)) {
    const unknown verdict{unknown_reason::kRepeatOfForgottenRequest,
                          "the key changed its owner after the request id was "
                          "issued; the request was not sent"};
    ledger_.End(request->id, verdict);
    submission.sink.Deliver(verdict);
    return;
  }
  std::optional<not_run> refusal = FindRefusal(new_order, now);
  if (!refusal) {
    refusal = Enqueue(*request, now);
  }
  if (refusal) {
    ledger_.End(request->id, *refusal);
    submission.sink.Deliver(*refusal);
    return;
  }
  new_order.waiters.push_back({submission.waiter, std::move(submission.sink)});
  orders_.emplace(request->id, std::move(new_order));
  ProcessQueue();
}

std::optional<key_hash> dispatcher::OwnedHashOf(
    const caller_request& request) const {
  const auto routes = snapshot_->services.find(service_);
  return routes == snapshot_->services.end()
             ? std::nullopt
             : OwnershipHash(routes->second.spec, request);
}

bool dispatcher::MayHaveRunElsewhere(key_hash where,
                                     const request_id& id,
                                     instant now) const {
  const slice_route* slice = snapshot_->services.at(service_).FindSlice(where);
  if (slice == nullptr) {
    return true;
  }
  // If the caller's clock is ahead, the id was issued earlier than it says.
  const wall_instant owner_since = WallNow() - (now - slice->owner_since);
  return id.issued_at() < owner_since + context_.timing.max_clock_error;
}

std::optional<not_run> dispatcher::FindRefusal(const order& waiting,
                                               instant now) const {
  const order_permission permission = CheckOrderPermission(
      *snapshot_, instance_, *waiting.request, waiting.where, now);
  const auto* refusal = std::get_if<not_run>(&permission);
  return refusal == nullptr ? std::nullopt : std::optional(*refusal);
}

std::optional<not_run> dispatcher::Enqueue(const caller_request& request,
                                           instant now) {
  const admission verdict = queue_.Submit(
      {request.id, request.priority, request.caller, request.deadline, now},
      now);
  const auto* rejection = std::get_if<rejected>(&verdict);
  return rejection == nullptr ? std::nullopt
                              : std::optional(RefusalOf(*rejection));
}

void dispatcher::Join(dispatch_submission submission) {
  const auto found = orders_.find(submission.request->id);
  if (found == orders_.end()) {
    submission.sink.Deliver(unknown{unknown_reason::kDispatcherLost,
                                    "the first copy ran elsewhere"});
    return;
  }
  found->second.waiters.push_back(
      {submission.waiter, std::move(submission.sink)});
}

void dispatcher::Abandon(const request_id& id, std::uint64_t waiter_id) {
  const auto found = orders_.find(id);
  if (found == orders_.end()) {
    return;
  }
  std::vector<waiter>& waiters = found->second.waiters;
  const auto gone = std::find_if(
      waiters.begin(), waiters.end(),
      [&](const waiter& candidate) { return candidate.id == waiter_id; });
  if (gone == waiters.end()) {
    return;
  }
  gone->sink.Deliver(
      unknown{unknown_reason::kNoAnswerInTime, "the caller is gone"});
  waiters.erase(gone);
  if (!waiters.empty()) {
    return;
  }
  if (found->second.progress.unproven > 0) {
    CancelRunning(found->second);
  } else {
    // The ledger drops the id, so the caller may send the request again.
    RefuseQueued(id, {not_run_reason::kDeadlineExpired,
                      "the caller gave up waiting", milliseconds(0)});
  }
}

request_state dispatcher::Query(const request_id& id) {
  if (orders_.contains(id)) {
    return request_running{};
  }
  const ledger_record record = ledger_.Withdraw(id);
  if (!record.outcome) {
    return request_ended{unknown{unknown_reason::kDispatcherLost,
                                 "the request ran at a former dispatcher"}};
  }
  const auto* refusal = std::get_if<not_run>(&*record.outcome);
  if (refusal != nullptr && refusal->reason == not_run_reason::kWithdrawn) {
    return request_withdrawn{};
  }
  return request_ended{*record.outcome};
}

void dispatcher::Adopt(std::shared_ptr<const routing_snapshot> snapshot) {
  snapshot_ = std::move(snapshot);
  const instant now = Now();
  const auto routes = snapshot_->services.find(service_);
  const endpoint_entry* endpoint = routes == snapshot_->services.end()
                                       ? nullptr
                                       : routes->second.FindEndpoint(instance_);
  if (endpoint != nullptr) {
    queue_.Configure(endpoint->values, now);
    budget_.Configure(endpoint->values.retry_budget_percent);
  }
  std::vector<std::pair<request_id, not_run>> refused;
  for (const auto& [id, pending_order] : orders_) {
    const auto refusal =
        pending_order.has_slot ? std::nullopt : FindRefusal(pending_order, now);
    if (refusal) {
      refused.emplace_back(id, *refusal);
    }
  }
  for (const auto& [id, reason] : refused) {
    RefuseQueued(id, reason);
  }
  ProcessQueue();
}

void dispatcher::Retire() {
  retired_ = true;
  std::vector<request_id> queued;
  for (const auto& [id, pending_order] : orders_) {
    if (!pending_order.has_slot) {
      queued.push_back(id);
    }
  }
  for (const request_id& id : queued) {
    RefuseQueued(id, NotDispatcher());
  }
}

void dispatcher::Resume() {
  if (std::exchange(retired_, false)) {
    Claim(dispatch_claim::Make(context_.timing, checks_epoch_, WallNow()));
  }
}

void dispatcher::Claim(const dispatch_claim& claim) {
  claim_ = claim;
  const std::vector<ledger_record> records = ledger_.Export();
  const auto routes = snapshot_->services.find(service_);
  const policy_values values = routes == snapshot_->services.end()
                                   ? policy_values{}
                                   : routes->second.values;
  ledger_ =
      request_ledger(LimitsOf(values, context_.timing), claim.complete_from());
  ledger_.Adopt(records, claim.complete_from());
}

void dispatcher::AdoptLedger(const ledger_transfer& transfer) {
  ledger_.Adopt(transfer.records, transfer.last_part ? transfer.complete_from
                                                     : ledger_.complete_from());
}

ledger_transfer dispatcher::ExportLedger() const {
  return {service_, instance_, ledger_.Export(), ledger_.complete_from(), true};
}

}  // namespace bluebell
