// Serves the requests of callers: finds the route of each, gets a permit, sends
// the request to the endpoint that the permit names, and retries it where that
// is allowed. Used on the traffic thread only.
//
//   served_response served = co_await server.Serve(request, arrived);

#ifndef BLUEBELL_PROXY_REQUEST_SERVER_H_
#define BLUEBELL_PROXY_REQUEST_SERVER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string_view>

#include <boost/asio/awaitable.hpp>

#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"
#include "bluebell/dispatch/retry_budget.h"
#include "bluebell/fleet/fleet_snapshot.h"
#include "bluebell/http/http_message.h"
#include "bluebell/permits/endpoint_pauses.h"
#include "bluebell/permits/permit_message.h"
#include "bluebell/proxy/attempt_policy.h"
#include "bluebell/proxy/attempt_result.h"
#include "bluebell/proxy/exchange_result.h"
#include "bluebell/proxy/served_response.h"
#include "bluebell/proxy/shutdown_window.h"
#include "bluebell/proxy/weighted_round_robin.h"
#include "bluebell/settings/gateway_settings.h"

namespace bluebell {

class endpoint_connection_pool;
class metrics_registry;
class permit_client;
struct exchange_options;

class request_server {
 public:
  // Called when an endpoint of the service has stated that it is leaving.
  using leaving_handler =
      std::function<void(const service_name& service,
                         const endpoint_instance& endpoint)>;

  request_server(const gateway_settings& settings,
                 permit_client& permits,
                 endpoint_connection_pool& connection_pool,
                 metrics_registry& metrics,
                 leaving_handler on_leaving);
  request_server(const request_server&) = delete;
  request_server& operator=(const request_server&) = delete;
  ~request_server() = default;

  void SetView(fleet_view view);
  // Prepares for the daemon's shutdown: requests that can't be answered in time
  // are refused, and no attempt is abandoned early any more.
  void BeginShutdown(const shutdown_window& window) { shutdown_ = window; }

  // Returns the final response to the request, which was read at `arrived` and
  // must exist until then. The coroutine is cancelled when the caller closes
  // its connection; the endpoint then stops its work.
  boost::asio::awaitable<served_response> Serve(const http_request& request,
                                                instant arrived);
  // True if the request's route allows it to run more than once.
  bool IsIdempotent(const http_request& request) const;

 private:
  struct request_context;

  // The route of the request; null if there is none.
  static const service_route* FindRoute(const http_request& request,
                                        const route_config& config);
  // Serves a request after its headers were read.
  boost::asio::awaitable<served_response> ServeRoute(request_context& context);
  // Makes one attempt. Returns nullopt if another one has to follow.
  boost::asio::awaitable<std::optional<served_response>> Attempt(
      request_context& context);
  permit_request PermitRequestOf(const request_context& context, instant now);
  // Gives back a permit for an endpoint that the dispatcher doesn't know yet to
  // be draining, paused or gone. Returns nullopt if another attempt has to
  // follow.
  std::optional<served_response> PassOver(request_context& context,
                                          const permit_granted& granted,
                                          instant now);
  // Gives back a permit unused. Returns nullopt if another attempt has to
  // follow.
  std::optional<served_response> ReturnPermit(request_context& context,
                                              const permit_granted& granted,
                                              std::string_view reason,
                                              instant now);
  // Sends the request with a permit. Returns nullopt if another attempt has to
  // follow.
  boost::asio::awaitable<std::optional<served_response>> SendAttempt(
      request_context& context,
      const permit_granted& granted,
      const fleet_endpoint& endpoint,
      instant sent_at);
  // `retry_taken` becomes true when the attempt is abandoned: the retry budget
  // has then allowed the next one. It and `context` must outlive the exchange.
  exchange_options ExchangeOptionsOf(const request_context& context,
                                     const permit_granted& granted,
                                     bool& retry_taken,
                                     instant now);
  // Notes the end of an attempt in the context and the metrics, and releases
  // its permit.
  void RecordAttempt(request_context& context,
                     const permit_granted& granted,
                     const exchange_result& exchange,
                     attempt_result result,
                     bool caller_left);
  // What follows an attempt, as far as the retry budget allows it.
  attempt_decision DecideWithinBudget(const request_context& context,
                                      attempt_result result,
                                      bool retry_taken,
                                      instant now);
  static void LogFailure(const request_context& context,
                         const permit_granted& granted,
                         const exchange_result& exchange,
                         const attempt_decision& next);
  static void LogRetry(const request_context& context,
                       const permit_granted& granted);
  std::optional<served_response> Conclude(request_context& context,
                                          const permit_granted& granted,
                                          exchange_result exchange,
                                          const attempt_decision& next);
  // The Retry-After time of a request that got no permit.
  milliseconds RetryAfterOf(const permit_refused& refused,
                            instant deadline) const;
  // True if the daemon exits before the request would be answered.
  bool IsTooLateToSend(const request_progress& progress,
                       const permit_granted& granted,
                       instant now) const;
  // The endpoint that a permit names; nullopt if this daemon must not use it.
  std::optional<fleet_endpoint> EndpointOf(const permit_granted& granted,
                                           instant now) const;
  // Adds the endpoints that have a pause to those that the request excludes.
  void ExcludePausedEndpoints(permit_request& request, instant now);
  // Takes note of what the endpoint states about further requests.
  void RecordNotices(const service_name& service,
                     const endpoint_instance& endpoint,
                     const exchange_result& exchange,
                     instant now);
  // Makes a response of the router itself. `retry_after` is lengthened at
  // random, unless a dispatcher has spread it, and limited by the time that the
  // caller has left.
  http_response Refuse(const request_context& context,
                       unsigned status,
                       std::string_view reason,
                       std::optional<milliseconds> retry_after);
  // The same for the reason in the context; only 503 has a Retry-After time.
  served_response RefuseAttempt(const request_context& context,
                                unsigned status,
                                std::optional<milliseconds> retry_after);
  // This daemon's part of the configured retry budget, which all daemons
  // together must not exceed.
  std::uint32_t RetryPercent() const;
  double RetryReserve() const;
  retry_budget& BudgetOf(const service_name& service);
  // Logs the request and counts it in the metrics.
  void LogEnd(const request_context& context, const http_response& response);

  const gateway_settings& settings_;
  permit_client& permits_;
  endpoint_connection_pool& connection_pool_;
  metrics_registry& metrics_;
  fleet_view view_;
  weighted_round_robin service_picker_;
  std::map<service_name, retry_budget> budgets_;
  leaving_handler on_leaving_;
  endpoint_pauses pauses_;
  std::optional<shutdown_window> shutdown_;
  std::minstd_rand random_;
};

}  // namespace bluebell

#endif  // BLUEBELL_PROXY_REQUEST_SERVER_H_
