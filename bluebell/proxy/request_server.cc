#include "bluebell/proxy/request_server.h"

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "bluebell/core/boot_clock.h"
#include "bluebell/fleet/fleet_service.h"
#include "bluebell/proxy/internal/request_context.h"
#include "bluebell/telemetry/log_event.h"
#include "bluebell/telemetry/metrics_registry.h"
#include "platform/proxy_headers.h"

namespace bluebell {

namespace {

namespace asio = boost::asio;

constexpr unsigned kNotFound = 404;
constexpr int kPercent = 100;

// Subtracted from the time that a caller says it will wait, since part of it
// passed before the request arrived and the response has to travel back.
constexpr milliseconds kResponseTransitMargin{20};
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

}  // namespace

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
    const std::int64_t added_percent =
        context.is_retry_scheduled ? 0 : spread_percent(random_);
    auto suggested_wait =
        *retry_after + *retry_after * added_percent / kPercent;
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
        .With("revision", context.view->revision)
        .With("endpoints_revision", context.view->endpoints_revision)
        .With("permit_revision", context.permit_revision);
  }
  event.With("reason", context.reason).Write();
}

}  // namespace bluebell
