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
#include "bluebell/proxy/attempt_policy.h"
#include "bluebell/proxy/endpoint_channels.h"
#include "bluebell/proxy/permit_client.h"
#include "bluebell/telemetry/log_event.h"
#include "bluebell/telemetry/metrics_registry.h"
#include "platform/proxy_headers.h"

namespace bluebell {

namespace {

namespace asio = boost::asio;

constexpr unsigned kNotFound = 404;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kFirstServerError = 500;
constexpr unsigned kFirstSuccess = 200;
constexpr unsigned kFirstRedirect = 300;
constexpr int kPercent = 100;

constexpr milliseconds kNoConfigRetry{500};
// The caller stops waiting this much earlier than it says, since the request
// was under way to here and its response has to get back.
constexpr milliseconds kWayBack{20};
// A non-idempotent request goes out only on a connection used this recently.
constexpr milliseconds kFreshConnection{1'500};
constexpr milliseconds kAnyConnection{60'000};
// An idempotent request without an answer after this many times its expected
// duration is sent again.
constexpr int kOverdue = 6;
constexpr milliseconds kLeastAttempt{1'000};
// Second attempts keep this share of the allowed ones, since daemons don't
// know each other's.
constexpr std::uint32_t kShareOfRetries = 75;
// A caller takes the advice when to come back only up to this part of the time
// that it has left.
constexpr int kMostRetryPart = 3;
// Callers that are refused together should not come back together.
constexpr int kRetrySpreadPercent = 30;

std::string_view ViewOf(boost::string_view text) {
  return {text.data(), text.size()};
}

std::string_view Describe(attempt_result result) {
  switch (result) {
    case attempt_result::kAnswered:
      return "answered";
    case attempt_result::kFailed:
      return "failed";
    case attempt_result::kUnvouched:
      return "unvouched";
    case attempt_result::kNotRun:
      return "not_run";
    case attempt_result::kUnsent:
      return "unsent";
    case attempt_result::kLost:
      return "lost";
  }
  return "unknown";
}

attempt_result ResultOf(const exchange_end& end) {
  return std::visit(
      overloaded{[](const exchange_answered& answered) {
                   const unsigned status = answered.response.result_int();
                   if (answered.about.not_run) {
                     return attempt_result::kNotRun;
                   }
                   if (status >= kFirstServerError) {
                     return attempt_result::kFailed;
                   }
                   const bool success =
                       status >= kFirstSuccess && status < kFirstRedirect;
                   return success && !answered.about.has_receipt
                              ? attempt_result::kUnvouched
                              : attempt_result::kAnswered;
                 },
                 [](const exchange_unsent&) { return attempt_result::kUnsent; },
                 [](const exchange_lost&) { return attempt_result::kLost; }},
      end);
}

permit_outcome OutcomeOf(const exchange_end& end, attempt_result result) {
  switch (result) {
    case attempt_result::kAnswered:
      return permit_outcome::kAnswered;
    case attempt_result::kFailed:
    case attempt_result::kUnvouched:
      return permit_outcome::kFailed;
    case attempt_result::kNotRun:
      return std::get<exchange_answered>(end).about.misdirected
                 ? permit_outcome::kMisdirected
                 : permit_outcome::kShed;
    case attempt_result::kUnsent:
      return permit_outcome::kUnreachable;
    case attempt_result::kLost:
      return permit_outcome::kNoResponse;
  }
  return permit_outcome::kUnused;
}

const error* FailureOf(const exchange_end& end) {
  return std::visit(
      overloaded{
          [](const exchange_answered&) -> const error* { return nullptr; },
          [](const auto& failed) -> const error* { return &failed.why; }},
      end);
}

}  // namespace

struct request_server::request_context {
  const http_request* request = nullptr;
  platform::caller_call call;
  fleet_view view;
  const service_route* route = nullptr;
  service_name service;
  instant arrived;
  request_progress progress;
  // Endpoints that this request met without success.
  std::vector<endpoint_id> avoid;
  // Of the last attempt, for the log.
  std::string endpoint;
  std::string reason;
  permit_id permit;
  std::string dispatcher;
  duration waited{0};
  duration took{0};
};

class request_server::active_count {
 public:
  explicit active_count(std::size_t& count) : count_(count) { ++count_; }
  active_count(const active_count&) = delete;
  active_count& operator=(const active_count&) = delete;
  ~active_count() { --count_; }

 private:
  std::size_t& count_;
};

request_server::request_server(const gateway_settings& settings,
                               permit_client& permits,
                               endpoint_channels& channels,
                               metrics_registry& metrics)
    : settings_(settings),
      permits_(permits),
      channels_(channels),
      metrics_(metrics),
      random_(std::random_device()()) {}

void request_server::SetView(fleet_view view) {
  view_ = std::move(view);
  for (auto& [service, budget] : budgets_) {
    budget.Configure(RetryPercent(), RetryReserve());
  }
}

std::uint32_t request_server::RetryPercent() const {
  return settings_.retry_percent * kShareOfRetries / kPercent;
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
    std::uniform_int_distribution<std::int64_t> spread(0, kRetrySpreadPercent);
    auto wait = *retry_after + *retry_after * spread(random_) / kPercent;
    if (context.call.time_left) {
      const auto left =
          std::chrono::duration_cast<milliseconds>(
              *context.call.time_left - (BootNow() - context.arrived)) /
          kMostRetryPart;
      wait = std::clamp(wait, milliseconds(0), std::max(left, milliseconds(0)));
    }
    retry_after = wait;
  }
  return platform::MakeOwnResponse(status, reason, context.call.attempt,
                                   retry_after);
}

asio::awaitable<http_response> request_server::Serve(
    const http_request& request,
    instant arrived) {
  co_await asio::this_coro::throw_if_cancelled(false);
  const active_count counted(active_);
  request_context context;
  context.request = &request;
  context.call = platform::ReadCallerCall(request);
  context.view = view_;
  context.arrived = arrived;
  http_response response = co_await ServeRoute(context);
  LogEnd(context, response);
  co_return response;
}

asio::awaitable<http_response> request_server::ServeRoute(
    request_context& context) {
  co_await asio::this_coro::throw_if_cancelled(false);
  if (!context.view || !context.view->config) {
    context.reason = "no configuration known";
    co_return Refuse(context, kUnavailable, context.reason, kNoConfigRetry);
  }
  const std::string_view target = ViewOf(context.request->target());
  const std::string_view host =
      ViewOf((*context.request)[boost::beast::http::field::host]);
  context.route =
      context.view->config->FindRoute(host, target.substr(0, target.find('?')));
  if (context.route == nullptr) {
    context.reason = "no route";
    co_return Refuse(context, kNotFound, context.reason, std::nullopt);
  }
  const service_route& route = *context.route;
  context.service = shares_.Pick(route).service;
  BudgetOf(context.service).CountFirstAttempt(context.arrived);
  duration time_left = route.timeout;
  if (context.call.time_left) {
    time_left =
        std::min<duration>(time_left, *context.call.time_left - kWayBack);
  }
  context.progress.idempotent = route.idempotent;
  context.progress.max_attempts = std::max(1U, route.max_attempts);
  context.progress.deadline = context.arrived + time_left;
  while (true) {
    std::optional<http_response> response = co_await Attempt(context);
    if (response) {
      co_return std::move(*response);
    }
  }
}

std::optional<fleet_endpoint> request_server::EndpointOf(
    const permit_granted& granted) const {
  const auto entry = view_->endpoints.find(granted.endpoint.endpoint);
  if (entry == view_->endpoints.end()) {
    if (granted.lapsing ||
        granted.endpoints_revision <= view_->endpoints_revision.value()) {
      // It has left, and the dispatcher doesn't know yet.
      return std::nullopt;
    }
    // The dispatcher has heard of it earlier.
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

asio::awaitable<std::optional<http_response>> request_server::Attempt(
    request_context& context) {
  co_await asio::this_coro::throw_if_cancelled(false);
  const service_route& route = *context.route;
  request_progress& progress = context.progress;
  const auto end_with = [&](unsigned status,
                            std::optional<milliseconds> retry_after) {
    if (status != kUnavailable) {
      retry_after.reset();
    }
    return Refuse(context, status, context.reason, retry_after);
  };
  const instant asked = BootNow();
  permit_ask ask;
  ask.service = context.service;
  ask.route = route.name;
  ask.domain = settings_.domain;
  ask.rank = route.rank;
  ask.key = context.call.key;
  ask.objective_left_ms = std::chrono::duration_cast<milliseconds>(
                              context.arrived + route.objective - asked)
                              .count();
  ask.avoid = context.avoid;
  const acquired_permit acquired =
      co_await permits_.Acquire(std::move(ask), progress.deadline);
  const instant permitted = BootNow();
  context.waited += permitted - asked;
  context.permit = acquired.id;
  context.dispatcher =
      acquired.dispatcher ? acquired.dispatcher->ToString() : "self";
  if (const auto* refused = std::get_if<permit_refused>(&acquired.reply)) {
    context.reason = std::string(Describe(refused->reason));
    co_return end_with(FinalStatus(progress, permitted),
                       milliseconds(refused->retry_after_ms));
  }
  const auto& granted = std::get<permit_granted>(acquired.reply);
  permit_end settled;
  settled.id = granted.id;
  settled.service = context.service;
  settled.endpoint = granted.endpoint.endpoint;
  context.endpoint = granted.endpoint.endpoint.value();
  const std::optional<fleet_endpoint> endpoint = EndpointOf(granted);
  if (!endpoint) {
    // This daemon knows better than the dispatcher that it is leaving.
    permits_.Settle(settled);
    ++progress.unsent;
    context.avoid.push_back(granted.endpoint.endpoint);
    context.reason = "the endpoint is not in service here";
    const attempt_decision next =
        DecideAfter(progress, attempt_result::kUnsent, permitted);
    if (const auto* end = std::get_if<give_up>(&next)) {
      co_return end_with(end->status, kNoConfigRetry);
    }
    co_return std::nullopt;
  }
  exchange_options options;
  options.attempt = context.call.attempt;
  options.deadline = progress.deadline;
  options.longest_idle =
      progress.idempotent ? kAnyConnection : kFreshConnection;
  bool retry_taken = false;
  if (MayAbandon(progress, context.call.key.has_value())) {
    const milliseconds expected(std::int64_t{granted.expected_ms} * kOverdue);
    options.overdue = permitted + std::max(kLeastAttempt, expected);
    // An attempt is given up early only for another one.
    options.may_abandon = [&] {
      const instant now = BootNow();
      const bool worthwhile =
          now + milliseconds(granted.expected_ms) < progress.deadline;
      retry_taken =
          worthwhile && !leaving_ && BudgetOf(context.service).TryRetry(now);
      return retry_taken;
    };
  }
  const auto time_left =
      std::chrono::duration_cast<milliseconds>(progress.deadline - permitted);
  exchange_end end = co_await channels_.Send(
      *endpoint,
      platform::MakeEndpointRequest(*context.request, granted.endpoint.endpoint,
                                    time_left),
      options);
  const instant ended = BootNow();
  context.took = ended - permitted;
  const auto cancelled = co_await asio::this_coro::cancellation_state;
  const bool caller_left =
      cancelled.cancelled() != asio::cancellation_type::none;
  const attempt_result result = ResultOf(end);
  settled.outcome =
      caller_left ? permit_outcome::kAbandoned : OutcomeOf(end, result);
  settled.took_ms = static_cast<std::uint32_t>(
      std::chrono::duration_cast<milliseconds>(ended - permitted).count());
  if (const auto* answered = std::get_if<exchange_answered>(&end)) {
    settled.load = answered->about.load;
  }
  permits_.Settle(settled);
  context.reason = std::string(Describe(result));
  if (caller_left) {
    context.reason = "the caller left";
    co_return end_with(FinalStatus(progress, ended), std::nullopt);
  }
  if (result == attempt_result::kUnsent) {
    ++progress.unsent;
  } else {
    ++progress.sent;
    progress.may_have_run =
        progress.may_have_run || result != attempt_result::kNotRun;
  }
  attempt_decision next = DecideAfter(progress, result, ended);
  if (const auto* again = std::get_if<try_again>(&next)) {
    const bool allowed = !again->costs_retry || retry_taken ||
                         BudgetOf(context.service).TryRetry(ended);
    if (!allowed) {
      next = result == attempt_result::kFailed
                 ? attempt_decision(pass_response())
                 : attempt_decision(give_up{FinalStatus(progress, ended)});
    }
  }
  if (const error* failure = FailureOf(end)) {
    log_event(log_level::kWarn, "attempt failed")
        .With("id", context.call.attempt)
        .With("service", context.service)
        .With("permit", context.permit.number)
        .With("expected_ms", granted.expected_ms)
        .With(*failure)
        .With("took_ms", settled.took_ms)
        .With("retry", std::holds_alternative<try_again>(next))
        .Write();
  }
  co_return std::visit(
      overloaded{[&](const pass_response&) -> std::optional<http_response> {
                   return platform::MakeCallerResponse(
                       std::move(std::get<exchange_answered>(end).response));
                 },
                 [&](const try_again&) -> std::optional<http_response> {
                   // A key has one owner, so another attempt goes there as
                   // well.
                   if (!context.call.key || progress.unsent > 1) {
                     context.avoid.push_back(granted.endpoint.endpoint);
                   }
                   metrics_.Add(metric::kRetries, {context.service.value()});
                   return std::nullopt;
                 },
                 [&](const give_up& last) -> std::optional<http_response> {
                   return end_with(last.status, kNoConfigRetry);
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
  log_event line(log_level::kInfo, "request ended");
  line.With("id", context.call.attempt)
      .With("status", response.result_int())
      .With("route",
            context.route == nullptr ? std::string_view() : context.route->name)
      .With("service", context.service)
      .With("endpoint", context.endpoint)
      .With("dispatcher", context.dispatcher)
      .With("permit", context.permit.number)
      .With("holder", context.permit.holder)
      .With("sent", context.progress.sent)
      .With("waited_ms", in_ms(context.waited))
      .With("took_ms", in_ms(context.took))
      .With("total_ms", in_ms(total));
  if (context.call.key) {
    line.With("key", *context.call.key);
  }
  if (context.view && context.view->config) {
    line.With("config", context.view->config->version())
        .With("revision", context.view->revision);
  }
  line.With("reason", context.reason).Write();
}

}  // namespace bluebell
