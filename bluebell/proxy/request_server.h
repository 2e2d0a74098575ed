// Serves one caller's request: finds its route, gets a permit, sends it to the
// endpoint that the permit names, and tries again where that is allowed.
// Lives on the traffic thread.
//
//   http_response response = co_await server.Serve(request, arrived);

#ifndef BLUEBELL_PROXY_REQUEST_SERVER_H_
#define BLUEBELL_PROXY_REQUEST_SERVER_H_

#include <cstddef>
#include <cstdint>
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
#include "bluebell/permits/permit_message.h"
#include "bluebell/proxy/share_picker.h"
#include "bluebell/settings/gateway_settings.h"

namespace bluebell {

class endpoint_channels;
class metrics_registry;
class permit_client;

class request_server {
 public:
  request_server(const gateway_settings& settings,
                 permit_client& permits,
                 endpoint_channels& channels,
                 metrics_registry& metrics);
  request_server(const request_server&) = delete;
  request_server& operator=(const request_server&) = delete;
  ~request_server() = default;

  void SetView(fleet_view view);
  // The daemon is about to stop: every attempt runs to its end.
  void BeginShutdown() { leaving_ = true; }

  // The final response. If the coroutine is cancelled, since the caller has
  // left, the endpoint's work is ended.
  boost::asio::awaitable<http_response> Serve(const http_request& request,
                                              instant arrived);

  // Requests that have no final response yet.
  std::size_t active() const { return active_; }

 private:
  struct request_context;
  class active_count;

  boost::asio::awaitable<http_response> ServeRoute(request_context& context);
  // One attempt; nothing if another one follows.
  boost::asio::awaitable<std::optional<http_response>> Attempt(
      request_context& context);
  // The endpoint of a permit; nothing if this daemon must not use it.
  std::optional<fleet_endpoint> EndpointOf(const permit_granted& granted) const;
  http_response Refuse(const request_context& context,
                       unsigned status,
                       std::string_view reason,
                       std::optional<milliseconds> retry_after);
  // This daemon's part of the second attempts that all may make together.
  std::uint32_t RetryPercent() const;
  double RetryReserve() const;
  retry_budget& BudgetOf(const service_name& service);
  void LogEnd(const request_context& context, const http_response& response);

  const gateway_settings& settings_;
  permit_client& permits_;
  endpoint_channels& channels_;
  metrics_registry& metrics_;
  fleet_view view_;
  share_picker shares_;
  std::map<service_name, retry_budget> budgets_;
  std::size_t active_ = 0;
  bool leaving_ = false;
  std::minstd_rand random_;
};

}  // namespace bluebell

#endif  // BLUEBELL_PROXY_REQUEST_SERVER_H_
