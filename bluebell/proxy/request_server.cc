#include "bluebell/proxy/request_server.h"

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "bluebell/core/boot_clock.h"
#include "bluebell/core/overloaded.h"
#include "bluebell/fleet/fleet_service.h"
#include "bluebell/proxy/attempt_policy.h"
#include "bluebell/proxy/endpoint_connection_pool.h"
#include "bluebell/proxy/permit_client.h"
#include "bluebell/telemetry/log_event.h"
#include "bluebell/telemetry/metrics_registry.h"
#include "platform/proxy_headers.h"

namespace bluebell {

namespace {

namespace asio = boost::asio;

constexpr unsigned kNotFound = 404;
constexpr unsigned kUnavailable = 503;
constexpr int kPercent = 100;

// The Retry-After time of refusals that no dispatcher has given a time for.
constexpr milliseconds kDefaultRetryAfter{500};
// The Retry-After time of requests that another daemon may serve at once.
constexpr milliseconds kShutdownRetryAfter{50};
// Subtracted from the time that a caller says it will wait, since part of it
// passed before the request arrived and the response has to travel back.
constexpr milliseconds kResponseTransitMargin{20};
// A non-idempotent request is only sent on a connection that was used this
// recently: the endpoint may close an older one while the request is written.
constexpr milliseconds kNonIdempotentMaxIdleTime{1'500};
constexpr milliseconds kIdempotentMaxIdleTime{60'000};
// An idempotent request without a key may be sent to another endpoint if there
// is no response after this many times its expected duration.
constexpr int kAbandonFactor = 6;
// No attempt is abandoned before this time.
constexpr milliseconds kMinTimeBeforeAbandon{1'000};
// The percentage of the configured retries that daemons use. They don't use
// all, since they don't know of each other's retries.
constexpr std::uint32_t kRetryBudgetSharePercent = 75;
// A caller follows Retry-After only up to the time that it has left, divided by
// this number.
constexpr int kRetryAfterDivisor = 3;
// Retry-After is lengthened by a random percentage up to this one, so that
// callers that were refused together don't retry together.
constexpr int kRetrySpreadPercent = 30;

std::string_view ToStringView(boost::string_view text) {
  return {text.data(), text.size()};
}

const error* FailureOf(const exchange_result& exchange) {
  return std::visit(
      overloaded{
          [](const exchange_answered&) -> const error* { return nullptr; },
          [](const auto& failed) -> const error* { return &failed.cause; }},
      exchange);
}

}  // namespace

struct request_server::request_context {
  const http_request* request = nullptr;
  platform::caller_headers call;
  fleet_view view;
  const service_route* route = nullptr;
  service_name service;
  instant arrived;
  request_progress progress;
  // Endpoints where an attempt of this request failed.
  std::vector<endpoint_id> excluded_endpoints;
  // The last attempt, for the log. `permit_wait` is the sum over all attempts.
  std::string endpoint;
  // The status of the endpoint's response, zero without one, and what ties the
  // response to the attempt.
  unsigned endpoint_status = 0;
  std::string_view match;
  std::string reason;
  permit_id permit;
  std::string dispatcher;
  duration permit_wait{0};
  duration elapsed{0};
};

request_server::request_server(const gateway_settings& settings,
                               permit_client& permits,
                               endpoint_connection_pool& connection_pool,
                               metrics_registry& metrics,
                               leaving_handler on_leaving)
    : settings_(settings),
      permits_(permits),
      connection_pool_(connection_pool),
      metrics_(metrics),
      on_leaving_(std::move(on_leaving)),
      random_(std::random_device()()) {}

void request_server::SetView(fleet_view view) {
  view_ = std::move(view);
  for (auto& [service, budget] : budgets_) {
    budget.Configure(RetryPercent(), RetryReserve());
  }
}

std::uint32_t request_server::RetryPercent() const {
  return settings_.retry_percent * kRetryBudgetSharePercent / kPercent;
}

double request_server::RetryReserve() const {
  const std::size_t members = view_ ? view_->members.size() : 1;
  return static_cast<double>(settings_.retry_reserve) / 2 /
         static_cast<double>(std::max<std::size_t>(1, members));
}

retry_budget& request_server::BudgetOf(const service_name& service) {
  return budgets_.try_emplace(service, RetryPercent(), RetryReserve())
      .first->second;
}

http_response request_server::Refuse(const request_context& context,
                                     unsigned status,
                                     std::string_view reason,
                                     std::optional<milliseconds> retry_after) {
  if (retry_after) {
    std::uniform_int_distribution<std::int64_t> spread_percent(
        0, kRetrySpreadPercent);
    auto suggested_wait =
        *retry_after + *retry_after * spread_percent(random_) / kPercent;
    if (context.call.time_left) {
      const auto left =
          std::chrono::duration_cast<milliseconds>(
              *context.call.time_left - (BootNow() - context.arrived)) /
          kRetryAfterDivisor;
      suggested_wait = std::clamp(suggested_wait, milliseconds(0),
                                  std::max(left, milliseconds(0)));
    }
    retry_after = suggested_wait;
  }
  return platform::MakeRouterResponse(status, reason, context.call.attempt,
                                      retry_after);
}

asio::awaitable<served_response> request_server::Serve(
    const http_request& request,
    instant arrived) {
  co_await asio::this_coro::throw_if_cancelled(false);
  request_context context;
  context.request = &request;
  context.call = platform::ReadCallerHeaders(request);
  context.view = view_;
  context.arrived = arrived;
  served_response served = co_await ServeRoute(context);
  LogEnd(context, served.response);
  co_return served;
}

const service_route* request_server::FindRoute(const http_request& request,
                                               const route_config& config) {
  const std::string_view target = ToStringView(request.target());
  const std::string_view host =
      ToStringView(request[boost::beast::http::field::host]);
  return config.FindRoute(host, target.substr(0, target.find('?')));
}

bool request_server::IsIdempotent(const http_request& request) const {
  const service_route* route =
      view_ && view_->config ? FindRoute(request, *view_->config) : nullptr;
  return route != nullptr && bluebell::IsIdempotent(route->kind);
}

asio::awaitable<served_response> request_server::ServeRoute(
    request_context& context) {
  co_await asio::this_coro::throw_if_cancelled(false);
  if (!context.view || !context.view->config) {
    context.reason = "no configuration known";
    co_return served_response{
        Refuse(context, kUnavailable, context.reason, kDefaultRetryAfter), {}};
  }
  context.route = FindRoute(*context.request, *context.view->config);
  if (context.route == nullptr) {
    context.reason = "no route";
    co_return served_response{
        Refuse(context, kNotFound, context.reason, std::nullopt), {}};
  }
  const service_route& route = *context.route;
  context.service = service_picker_.Pick(route).service;
  BudgetOf(context.service).CountFirstAttempt(context.arrived);
  duration time_left = route.timeout;
  if (context.call.time_left) {
    time_left = std::min<duration>(
        time_left, *context.call.time_left - kResponseTransitMargin);
  }
  context.progress.idempotent = bluebell::IsIdempotent(route.kind);
  const fleet_service* service =
      context.view->config->FindService(context.service);
  context.progress.keyed =
      context.call.key && service != nullptr && service->keyed;
  context.progress.max_attempts = std::max(1U, route.max_attempts);
  context.progress.deadline = context.arrived + time_left;
  while (true) {
    std::optional<served_response> response = co_await Attempt(context);
    if (response) {
      co_return std::move(*response);
    }
  }
}

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
  const auto entry = view_->endpoints.find(granted.endpoint.endpoint);
  if (entry == view_->endpoints.end()) {
    if (granted.lapsing ||
        granted.endpoints_revision <= view_->endpoints_revision.value()) {
      // The endpoint is gone, and the dispatcher doesn't know that yet.
      return std::nullopt;
    }
    // The dispatcher learned of the endpoint before this daemon did.
    fleet_endpoint endpoint;
    endpoint.instance = granted.endpoint;
    endpoint.service = granted.service;
    endpoint.where = granted.where;
    return endpoint;
  }
  if (entry->second.draining) {
    return std::nullopt;
  }
  fleet_endpoint endpoint = entry->second;
  endpoint.instance = granted.endpoint;
  endpoint.where = granted.where;
  return endpoint;
}

asio::awaitable<std::optional<served_response>> request_server::Attempt(
    request_context& context) {
  co_await asio::this_coro::throw_if_cancelled(false);
  const service_route& route = *context.route;
  request_progress& progress = context.progress;
  const auto refuse_with = [&](unsigned status,
                               std::optional<milliseconds> retry_after) {
    if (status != kUnavailable) {
      retry_after.reset();
    }
    return served_response{Refuse(context, status, context.reason, retry_after),
                           {}};
  };
  const instant requested_at = BootNow();
  permit_request message;
  message.service = context.service;
  message.route = route.name;
  message.domain = settings_.domain;
  message.rank = route.rank;
  message.key = context.call.key;
  message.objective_left_ms =
      std::chrono::duration_cast<milliseconds>(
          context.arrived + route.target_latency - requested_at)
          .count();
  message.excluded_endpoints = context.excluded_endpoints;
  ExcludePausedEndpoints(message, requested_at);
  const acquire_result acquired =
      co_await permits_.Acquire(std::move(message), progress.deadline);
  const instant replied_at = BootNow();
  context.permit_wait += replied_at - requested_at;
  context.permit = acquired.id;
  context.dispatcher =
      acquired.dispatcher ? acquired.dispatcher->ToString() : "self";
  if (const auto* refused = std::get_if<permit_refused>(&acquired.reply)) {
    context.reason = std::string(Describe(refused->reason));
    co_return refuse_with(FinalStatus(progress, replied_at),
                          RetryAfterOf(*refused, progress.deadline));
  }
  const auto& granted = std::get<permit_granted>(acquired.reply);
  permit_release release;
  release.id = granted.id;
  release.service = context.service;
  release.endpoint = granted.endpoint.endpoint;
  context.endpoint = granted.endpoint.endpoint.value();
  if (IsTooLateToSend(progress, granted, replied_at)) {
    permits_.Release(release);
    context.reason = std::string(Describe(permit_refusal::kShuttingDown));
    co_return refuse_with(FinalStatus(progress, replied_at),
                          kShutdownRetryAfter);
  }
  const std::optional<fleet_endpoint> endpoint =
      EndpointOf(granted, replied_at);
  if (!endpoint) {
    // This daemon knows, and the dispatcher doesn't yet, that the endpoint is
    // draining, paused or gone.
    permits_.Release(release);
    ++progress.unsent_attempts;
    context.excluded_endpoints.push_back(granted.endpoint.endpoint);
    context.reason = "the endpoint is not in service here";
    const attempt_decision next =
        DecideAfterAttempt(progress, attempt_result::kUnsent, replied_at);
    if (const auto* failed = std::get_if<fail_request>(&next)) {
      co_return refuse_with(failed->status, kDefaultRetryAfter);
    }
    co_return std::nullopt;
  }
  exchange_options options;
  options.attempt = context.call.attempt;
  options.deadline = progress.deadline;
  options.max_idle_time =
      progress.idempotent ? kIdempotentMaxIdleTime : kNonIdempotentMaxIdleTime;
  bool retry_taken = false;
  if (MayAbandon(progress)) {
    const milliseconds expected(std::int64_t{granted.expected_ms} *
                                kAbandonFactor);
    options.abandon_check_at =
        replied_at + std::max(kMinTimeBeforeAbandon, expected);
    // An attempt is only abandoned if another one can follow it.
    options.may_abandon = [&] {
      const instant now = BootNow();
      const bool worthwhile =
          now + milliseconds(granted.expected_ms) < progress.deadline;
      retry_taken =
          worthwhile && !shutdown_ && BudgetOf(context.service).TryRetry(now);
      return retry_taken;
    };
  }
  const auto time_left =
      std::chrono::duration_cast<milliseconds>(progress.deadline - replied_at);
  exchange_result exchange = co_await connection_pool_.Send(
      *endpoint,
      platform::MakeEndpointRequest(*context.request, granted.endpoint.endpoint,
                                    time_left),
      options);
  const instant ended = BootNow();
  context.elapsed = ended - replied_at;
  RecordNotices(context.service, endpoint->instance, exchange, ended);
  const auto cancelled = co_await asio::this_coro::cancellation_state;
  const bool caller_left =
      cancelled.cancelled() != asio::cancellation_type::none;
  const attempt_result result = ResultOf(exchange, progress.idempotent);
  release.outcome =
      caller_left ? permit_outcome::kAbandoned : OutcomeOf(exchange, result);
  release.took_ms = static_cast<std::uint32_t>(
      std::chrono::duration_cast<milliseconds>(ended - replied_at).count());
  context.endpoint_status = 0;
  context.match = {};
  if (const auto* answered = std::get_if<exchange_answered>(&exchange)) {
    release.load = answered->reply_info.load;
    context.endpoint_status = answered->response.result_int();
    context.match = Describe(answered->match);
  }
  metrics_.Add(metric::kAttempts,
               {context.service.value(), Describe(result), context.match});
  permits_.Release(release);
  context.reason = std::string(Describe(result));
  if (result == attempt_result::kUnsent) {
    ++progress.unsent_attempts;
  } else {
    ++progress.sent_attempts;
    progress.may_have_run =
        progress.may_have_run || result != attempt_result::kNotRun;
  }
  if (caller_left) {
    context.reason = "the caller left";
    co_return refuse_with(FinalStatus(progress, ended), std::nullopt);
  }
  attempt_decision next = DecideAfterAttempt(progress, result, ended);
  if (const auto* retry = std::get_if<retry_request>(&next)) {
    const bool allowed = !retry->uses_retry_budget || retry_taken ||
                         BudgetOf(context.service).TryRetry(ended);
    if (!allowed) {
      // Only an idempotent request is retried after these results.
      const bool may_relay = result == attempt_result::kFailed ||
                             result == attempt_result::kUnprovenRefusal;
      next = may_relay
                 ? attempt_decision(relay_response())
                 : attempt_decision(fail_request{FinalStatus(progress, ended)});
    }
  }
  if (const error* failure = FailureOf(exchange)) {
    log_event(log_level::kWarn, "attempt failed")
        .With("id", context.call.attempt)
        .With("service", context.service)
        .With("permit", context.permit.number)
        .With("expected_ms", granted.expected_ms)
        .With(*failure)
        .With("took_ms", release.took_ms)
        .With("retry", std::holds_alternative<retry_request>(next))
        .Write();
  }
  co_return std::visit(
      overloaded{
          [&](const relay_response&) -> std::optional<served_response> {
            auto& answered = std::get<exchange_answered>(exchange);
            return served_response{
                platform::MakeCallerResponse(std::move(answered.response)),
                std::move(answered.memory)};
          },
          [&](const retry_request&) -> std::optional<served_response> {
            // A key has one owner, which gets the next attempt too.
            if (!progress.keyed || progress.unsent_attempts > 1) {
              context.excluded_endpoints.push_back(granted.endpoint.endpoint);
            }
            metrics_.Add(metric::kRetries, {context.service.value()});
            return std::nullopt;
          },
          [&](const fail_request& failed) -> std::optional<served_response> {
            return refuse_with(failed.status, kDefaultRetryAfter);
          }},
      next);
}

void request_server::LogEnd(const request_context& context,
                            const http_response& response) {
  const duration total = BootNow() - context.arrived;
  const auto in_ms = [](duration time) {
    return std::chrono::duration_cast<milliseconds>(time).count();
  };
  const std::string rank =
      context.route == nullptr ? "" : std::to_string(context.route->rank);
  const std::string status = std::to_string(response.result_int());
  metrics_.Add(metric::kRequests, {context.service.value(), rank, status});
  metrics_.Observe(metric::kRequestSeconds,
                   {context.service.value(), rank, status}, total);
  log_event event(log_level::kInfo, "request ended");
  event.With("id", context.call.attempt)
      .With("status", response.result_int())
      .With("route",
            context.route == nullptr ? std::string_view() : context.route->name)
      .With("service", context.service)
      .With("endpoint", context.endpoint)
      .With("endpoint_status", context.endpoint_status)
      .With("match", context.match)
      .With("idempotent", context.progress.idempotent)
      .With("dispatcher", context.dispatcher)
      .With("permit", context.permit.number)
      .With("holder", context.permit.holder)
      .With("sent", context.progress.sent_attempts)
      .With("waited_ms", in_ms(context.permit_wait))
      .With("took_ms", in_ms(context.elapsed))
      .With("total_ms", in_ms(total));
  if (context.call.key) {
    event.With("key", *context.call.key);
  }
  if (context.view && context.view->config) {
    event.With("config", context.view->config->version())
        .With("revision", context.view->revision);
  }
  event.With("reason", context.reason).Write();
}

}  // namespace bluebell
