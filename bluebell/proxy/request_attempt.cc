#include "bluebell/proxy/request_server.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "bluebell/core/boot_clock.h"
#include "bluebell/core/overloaded.h"
#include "bluebell/permits/admission_policy.h"
#include "bluebell/permits/permit_use.h"
#include "bluebell/permits/permitted_endpoint.h"
#include "bluebell/proxy/endpoint_connection_pool.h"
#include "bluebell/proxy/internal/request_context.h"
#include "bluebell/proxy/permit_client.h"
#include "bluebell/telemetry/log_event.h"
#include "bluebell/telemetry/metrics_registry.h"
#include "platform/proxy_headers.h"

// The attempts of a request: permit, endpoint, exchange and what follows.

namespace bluebell {

namespace {

namespace asio = boost::asio;

// The Retry-After time of requests that another daemon may serve at once.
constexpr milliseconds kShutdownRetryAfter{50};
// A non-idempotent request is only sent on a connection that was used this
// recently: the endpoint may close an older one while the request is written.
constexpr milliseconds kNonIdempotentMaxIdleTime{1'500};
constexpr milliseconds kIdempotentMaxIdleTime{60'000};
// An idempotent request without a key may be sent to another endpoint if there
// is no response after this many times its expected duration.
constexpr int kAbandonFactor = 6;
// No attempt is abandoned before this time.
constexpr milliseconds kMinTimeBeforeAbandon{1'000};

// The release of a permit that was not used.
permit_release UnusedRelease(const service_name& service,
                             const permit_granted& granted) {
  permit_release release;
  release.id = granted.id;
  release.service = service;
  release.endpoint = granted.endpoint.endpoint;
  return release;
}

keyed_execution ExecutionUnder(const permit_granted& granted) {
  return {granted.endpoint, granted.fence, granted.table_fence};
}

const error* FailureOf(const exchange_result& exchange) {
  return std::visit(
      overloaded{
          [](const exchange_answered&) -> const error* { return nullptr; },
          [](const auto& failed) -> const error* { return &failed.cause; }},
      exchange);
}

}  // namespace

void request_server::ExcludePausedEndpoints(permit_request& request,
                                            instant now) {
  for (const endpoint_instance& paused :
       pauses_.PausedEndpoints(request.service, now)) {
    const auto known = view_->endpoints.find(paused.endpoint);
    const bool has_later_process =
        known != view_->endpoints.end() && known->second.instance != paused;
    if (!has_later_process) {
      request.excluded_endpoints.push_back(paused.endpoint);
    }
  }
}

void request_server::RecordNotices(const service_name& service,
                                   const endpoint_instance& endpoint,
                                   const exchange_result& exchange,
                                   instant now) {
  const auto* answered = std::get_if<exchange_answered>(&exchange);
  if (answered == nullptr) {
    return;
  }
  if (answered->reply_info.leaving) {
    on_leaving_(service, endpoint);
  }
  if (answered->reply_info.pause) {
    pauses_.Record(service, endpoint, now + *answered->reply_info.pause);
  }
}

milliseconds request_server::RetryAfterOf(const permit_refused& refused,
                                          instant deadline) const {
  // Another daemon may have time to serve the request.
  const bool ends_by_shutdown = shutdown_ && shutdown_->answer_by() < deadline;
  return ends_by_shutdown ? kShutdownRetryAfter
                          : milliseconds(refused.retry_after_ms);
}

bool request_server::IsTooLateToSend(const request_progress& progress,
                                     const permit_granted& granted,
                                     instant now) const {
  return shutdown_ && shutdown_->answer_by() < progress.deadline &&
         !shutdown_->HasTimeFor(milliseconds(granted.expected_ms),
                                progress.idempotent, now);
}

std::optional<fleet_endpoint> request_server::EndpointOf(
    const permit_granted& granted,
    instant now) const {
  if (pauses_.PausedUntil(granted.service, granted.endpoint, now)) {
    return std::nullopt;
  }
  return PermittedEndpoint(*view_, granted);
}

permit_request request_server::PermitRequestOf(const request_context& context,
                                               instant now) {
  const service_route& route = *context.route;
  permit_request request;
  request.service = context.service;
  request.route = route.name;
  request.domain = settings_.domain;
  request.rank = route.rank;
  request.key = context.call.key;
  request.objective_left_ms = std::chrono::duration_cast<milliseconds>(
                                  context.arrived + route.target_latency - now)
                                  .count();
  request.excluded_endpoints = context.excluded_endpoints;
  request.body_bytes = context.request->body().size();
  ExcludePausedEndpoints(request, now);
  return request;
}

served_response request_server::RefuseAttempt(
    const request_context& context,
    unsigned status,
    std::optional<milliseconds> retry_after) {
  if (status != kUnavailable) {
    retry_after.reset();
  }
  return {Refuse(context, status, context.reason, retry_after), {}};
}

asio::awaitable<std::optional<served_response>> request_server::Attempt(
    request_context& context) {
  co_await asio::this_coro::throw_if_cancelled(false);
  const request_progress& progress = context.progress;
  const instant requested_at = BootNow();
  const acquire_result acquired = co_await permits_.Acquire(
      PermitRequestOf(context, requested_at), progress.deadline);
  const instant replied_at = BootNow();
  context.permit_wait += replied_at - requested_at;
  context.permit = acquired.id;
  context.dispatcher =
      acquired.dispatcher ? acquired.dispatcher->ToString() : "self";
  if (const auto* refused = std::get_if<permit_refused>(&acquired.reply)) {
    context.reason = std::string(Describe(refused->reason));
    context.is_retry_scheduled =
        refused->reason == permit_refusal::kOverloaded &&
        std::holds_alternative<scheduled_admission>(
            AdmissionPolicyFor(*context.view->config));
    co_return RefuseAttempt(context, FinalStatus(progress, replied_at),
                            RetryAfterOf(*refused, progress.deadline));
  }
  const auto& granted = std::get<permit_granted>(acquired.reply);
  context.endpoint = granted.endpoint.endpoint.value();
  context.permit_revision = granted.endpoints_revision;
  if (IsTooLateToSend(progress, granted, replied_at)) {
    permits_.Release(UnusedRelease(context.service, granted));
    context.reason = std::string(Describe(permit_refusal::kShuttingDown));
    co_return RefuseAttempt(context, FinalStatus(progress, replied_at),
                            kShutdownRetryAfter);
  }
  if (!MayRunAgain(progress, ExecutionUnder(granted))) {
    permits_.Release(UnusedRelease(context.service, granted));
    context.reason = "the key has moved since an attempt ran at its owner";
    co_return RefuseAttempt(context, FinalStatus(progress, replied_at),
                            std::nullopt);
  }
  if (const auto use_by = UseBy(granted); use_by && replied_at > *use_by) {
    co_return ReturnPermit(context, granted, "the permit came too late",
                           replied_at);
  }
  const std::optional<fleet_endpoint> endpoint =
      EndpointOf(granted, replied_at);
  if (!endpoint) {
    co_return PassOver(context, granted, replied_at);
  }
  co_return co_await SendAttempt(context, granted, *endpoint, replied_at);
}

std::optional<served_response> request_server::PassOver(
    request_context& context,
    const permit_granted& granted,
    instant now) {
  context.excluded_endpoints.push_back(granted.endpoint.endpoint);
  return ReturnPermit(context, granted, "the endpoint is not in service here",
                      now);
}

std::optional<served_response> request_server::ReturnPermit(
    request_context& context,
    const permit_granted& granted,
    std::string_view reason,
    instant now) {
  permits_.Release(UnusedRelease(context.service, granted));
  context.progress = WithAttempt(context.progress, attempt_result::kUnsent);
  context.reason = std::string(reason);
  const attempt_decision next =
      DecideAfterAttempt(context.progress, attempt_result::kUnsent, now);
  if (const auto* failed = std::get_if<fail_request>(&next)) {
    return RefuseAttempt(context, failed->status, kDefaultRetryAfter);
  }
  return std::nullopt;
}

exchange_options request_server::ExchangeOptionsOf(
    const request_context& context,
    const permit_granted& granted,
    bool& retry_taken,
    instant now) {
  const request_progress& progress = context.progress;
  exchange_options options;
  options.attempt = context.call.attempt;
  options.deadline = progress.deadline;
  options.send_by = UseBy(granted);
  options.max_idle_time =
      progress.idempotent ? kIdempotentMaxIdleTime : kNonIdempotentMaxIdleTime;
  if (!MayAbandon(progress)) {
    return options;
  }
  const milliseconds expected(granted.expected_ms);
  options.abandon_check_at =
      now + std::max(kMinTimeBeforeAbandon, expected * kAbandonFactor);
  // An attempt is only abandoned if another one can follow it.
  options.may_abandon = [this, &context, &retry_taken, expected] {
    const instant checked_at = BootNow();
    const bool worthwhile = checked_at + expected < context.progress.deadline;
    retry_taken = worthwhile && !shutdown_ &&
                  BudgetOf(context.service).TryRetry(checked_at);
    return retry_taken;
  };
  return options;
}

asio::awaitable<std::optional<served_response>> request_server::SendAttempt(
    request_context& context,
    const permit_granted& granted,
    const fleet_endpoint& endpoint,
    instant sent_at) {
  co_await asio::this_coro::throw_if_cancelled(false);
  request_progress& progress = context.progress;
  bool retry_taken = false;
  const exchange_options options =
      ExchangeOptionsOf(context, granted, retry_taken, sent_at);
  const auto time_left =
      std::chrono::duration_cast<milliseconds>(progress.deadline - sent_at);
  metrics_.Add(metric::kDomainRequests,
               {context.service.value(), settings_.domain.value(),
                endpoint.domain.value()});
  exchange_result exchange = co_await connection_pool_.Send(
      endpoint,
      platform::MakeEndpointRequest(*context.request, granted.endpoint.endpoint,
                                    time_left),
      options);
  const instant ended = BootNow();
  const auto cancelled = co_await asio::this_coro::cancellation_state;
  const bool caller_left =
      cancelled.cancelled() != asio::cancellation_type::none;
  context.elapsed = ended - sent_at;
  RecordNotices(context.service, endpoint.instance, exchange, ended);
  const attempt_result result = ResultOf(exchange, progress.idempotent);
  RecordAttempt(context, granted, exchange, result, caller_left);
  progress = progress.keyed
                 ? WithKeyedAttempt(progress, result, ExecutionUnder(granted))
                 : WithAttempt(progress, result);
  if (caller_left) {
    context.reason = "the caller left";
    co_return RefuseAttempt(context, FinalStatus(progress, ended),
                            std::nullopt);
  }
  const attempt_decision next =
      DecideWithinBudget(context, result, retry_taken, ended);
  LogFailure(context, granted, exchange, next);
  co_return Conclude(context, granted, std::move(exchange), next);
}

void request_server::RecordAttempt(request_context& context,
                                   const permit_granted& granted,
                                   const exchange_result& exchange,
                                   attempt_result result,
                                   bool caller_left) {
  permit_release release = UnusedRelease(context.service, granted);
  release.outcome =
      caller_left ? permit_outcome::kAbandoned : OutcomeOf(exchange, result);
  const auto* unsent = std::get_if<exchange_unsent>(&exchange);
  if (unsent != nullptr && unsent->cause.code() == errc::kTimeout) {
    // The time of the permit passed before the request was sent, which says
    // nothing about the endpoint.
    release.outcome = permit_outcome::kUnused;
  }
  release.took_ms = static_cast<std::uint32_t>(
      std::chrono::duration_cast<milliseconds>(context.elapsed).count());
  context.endpoint_status = 0;
  context.match = {};
  if (const auto* answered = std::get_if<exchange_answered>(&exchange)) {
    release.load = answered->reply_info.load;
    context.endpoint_status = answered->response.result_int();
    context.match = Describe(answered->match);
  }
  context.reason = std::string(Describe(result));
  metrics_.Add(metric::kAttempts,
               {context.service.value(), Describe(result), context.match});
  permits_.Release(release);
}

attempt_decision request_server::DecideWithinBudget(
    const request_context& context,
    attempt_result result,
    bool retry_taken,
    instant now) {
  const attempt_decision next =
      DecideAfterAttempt(context.progress, result, now);
  const auto* retry = std::get_if<retry_request>(&next);
  const bool allowed = retry == nullptr || !retry->uses_retry_budget ||
                       retry_taken || BudgetOf(context.service).TryRetry(now);
  if (allowed) {
    return next;
  }
  // Only an idempotent request is retried after these results.
  const bool may_relay = result == attempt_result::kFailed ||
                         result == attempt_result::kUnprovenRefusal;
  if (may_relay) {
    return relay_response();
  }
  return fail_request{FinalStatus(context.progress, now)};
}

void request_server::LogFailure(const request_context& context,
                                const permit_granted& granted,
                                const exchange_result& exchange,
                                const attempt_decision& next) {
  const error* failure = FailureOf(exchange);
  if (failure == nullptr) {
    return;
  }
  const auto took =
      std::chrono::duration_cast<milliseconds>(context.elapsed).count();
  log_event(log_level::kWarn, "attempt failed")
      .With("id", context.call.attempt)
      .With("service", context.service)
      .With("permit", context.permit.number)
      .With("expected_ms", granted.expected_ms)
      .With(*failure)
      .With("took_ms", took)
      .With("retry", std::holds_alternative<retry_request>(next))
      .Write();
}

void request_server::LogRetry(const request_context& context,
                              const permit_granted& granted) {
  const auto took =
      std::chrono::duration_cast<milliseconds>(context.elapsed).count();
  log_event line(log_level::kInfo, "attempt is followed by another");
  line.With("id", context.call.attempt)
      .With("service", context.service)
      .With("endpoint", granted.endpoint.endpoint)
      .With("endpoint_status", context.endpoint_status)
      .With("reason", context.reason)
      .With("took_ms", took);
  if (context.call.key) {
    line.With("key", *context.call.key);
  }
  line.Write();
}

std::optional<served_response> request_server::Conclude(
    request_context& context,
    const permit_granted& granted,
    exchange_result exchange,
    const attempt_decision& next) {
  return std::visit(
      overloaded{
          [&](const relay_response&) -> std::optional<served_response> {
            auto& answered = std::get<exchange_answered>(exchange);
            return served_response{
                platform::MakeCallerResponse(std::move(answered.response)),
                std::move(answered.memory)};
          },
          [&](const retry_request&) -> std::optional<served_response> {
            const request_progress& progress = context.progress;
            // A key has one owner, which gets the next attempt too.
            if (!progress.keyed || progress.unsent_attempts > 1) {
              context.excluded_endpoints.push_back(granted.endpoint.endpoint);
            }
            metrics_.Add(metric::kRetries, {context.service.value()});
            LogRetry(context, granted);
            return std::nullopt;
          },
          [&](const fail_request& failed) -> std::optional<served_response> {
            return RefuseAttempt(context, failed.status, kDefaultRetryAfter);
          }},
      next);
}

}  // namespace bluebell
