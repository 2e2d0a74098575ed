// The traffic part of a gateway daemon, which runs on one thread of its own:
// connections of callers and to endpoints, permits, and messages of other
// daemons. The control thread publishes fleet views to it.
//
//   auto traffic = traffic_server::Start(settings, self, metrics,
//   hooks).value(); traffic->Publish(view);

#ifndef BLUEBELL_PROXY_TRAFFIC_SERVER_H_
#define BLUEBELL_PROXY_TRAFFIC_SERVER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "bluebell/core/ids.h"
#include "bluebell/core/result.h"
#include "bluebell/fleet/fleet_snapshot.h"
#include "bluebell/fleet/fleet_update.h"
#include "bluebell/keyspace/coordinator_change.h"
#include "bluebell/keyspace/shard_load.h"
#include "bluebell/keyspace/unserved_range.h"
#include "bluebell/proxy/caller_connection.h"
#include "bluebell/proxy/endpoint_connection_pool.h"
#include "bluebell/proxy/permit_client.h"
#include "bluebell/proxy/permit_dispatcher.h"
#include "bluebell/proxy/request_server.h"
#include "bluebell/proxy/shutdown_window.h"
#include "bluebell/settings/gateway_settings.h"
#include "bluebell/wire/wire_message.h"

namespace bluebell {

class metrics_registry;
class page_server;
class peer_socket;
class tcp_listener;

// The load of a keyed service as measured by its dispatcher.
struct measured_load {
  service_name service;
  // The load of each key; empty if this daemon doesn't know the service.
  std::vector<shard_load> keys;
  // The capacity of each endpoint, in slots of average speed.
  std::map<endpoint_id, double> capacities;
};

// Functions for events that the control side handles. They are called on the
// traffic thread and must not block.
struct traffic_callbacks {
  // Another daemon states that it is the coordinator now.
  std::function<void(const address& from, const coordinator_claim& claim)>
      on_coordinator_claim;
  // Another daemon confirms a claim: it sends no more orders about keys.
  std::function<void(const address& from, const coordinator_yield& yield)>
      on_coordinator_yield;
  // An endpoint has stated that it is leaving, to this daemon or to another.
  std::function<void(const endpoint_instance& endpoint)> on_endpoint_leaving;
  // Another daemon follows this one, or answers this one.
  std::function<void(const address& from, const fleet_update_request& request)>
      on_update_request;
  std::function<void(const address& from, const fleet_update& update)>
      on_update;
  // Another daemon has a newer state of the store, at this revision.
  std::function<void(std::uint64_t revision)> on_newer_revision;
  // A dispatcher knows a later change of an endpoint than this daemon, at this
  // revision.
  std::function<void(std::uint64_t revision)> on_newer_endpoints;
};

class traffic_server {
 public:
  // Opens all listeners and starts the thread. Fails if an address can't be
  // bound.
  static result<std::unique_ptr<traffic_server>> Start(
      const gateway_settings& settings,
      const daemon_instance& self,
      metrics_registry& metrics,
      const traffic_callbacks& callbacks);
  traffic_server(const traffic_server&) = delete;
  traffic_server& operator=(const traffic_server&) = delete;
  // Stops and joins the thread. Requests that are still being served end
  // without a response.
  ~traffic_server();

  // All functions may be called from any thread. They return at once and take
  // effect later, on the traffic thread.

  // Replaces the fleet view that requests are routed by.
  void Publish(const fleet_view& view);
  // Sends a message to another daemon. It may be lost.
  void SendPeer(const address& to, const wire_message& message);
  // Sets the key ranges that no endpoint serves, as the coordinator in this
  // process knows them.
  void SetUnservedRanges(const service_name& service,
                         const std::vector<unserved_range>& unserved);
  // Passes the load of the service to `done`, on the traffic thread.
  void Measure(const service_name& service,
               std::function<void(measured_load load)> done);

  // The daemon no longer reports that it is ready, each response asks the
  // caller to close its connection, and requests that can't be answered within
  // the window are refused.
  void BeginShutdown(const shutdown_window& window);
  // Stops accepting connections of callers and closes the idle ones.
  void StopAccepting();
  // Passes the number of connections of callers with a request that is served
  // or whose response isn't delivered yet to `done`, on the traffic thread.
  void CountActive(std::function<void(std::size_t active)> done);

 private:
  traffic_server(gateway_settings settings,
                 const daemon_instance& self,
                 metrics_registry& metrics,
                 traffic_callbacks callbacks,
                 std::unique_ptr<boost::asio::io_context> io,
                 std::unique_ptr<peer_socket> peers);

  result<bool> OpenListeners();
  void ApplyView(const fleet_view& view);
  // True if this daemon can act as a dispatcher.
  bool CanDispatch() const;
  void OnMessage(const address& from, const wire_message& message);
  void AddCaller(boost::asio::ip::tcp::socket socket);
  // Closes idle endpoint connections and forgets closed caller connections at
  // regular intervals.
  void ScheduleCleanup();
  http_response AnswerReadiness(const http_request& request) const;

  gateway_settings settings_;
  metrics_registry& metrics_;
  traffic_callbacks callbacks_;
  // Declared before the members that use it, so that it is destroyed after
  // them.
  std::unique_ptr<boost::asio::io_context> io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      io_work_guard_;
  std::unique_ptr<peer_socket> peers_;
  permit_dispatcher permit_dispatcher_;
  permit_client permits_;
  endpoint_connection_pool connection_pool_;
  request_server server_;
  std::shared_ptr<const caller_request_handler> request_handler_;
  std::shared_ptr<shared_connection_state> connection_state_;
  std::vector<std::weak_ptr<caller_connection>> caller_connections_;
  std::shared_ptr<tcp_listener> caller_listener_;
  std::unique_ptr<page_server> readiness_server_;
  std::unique_ptr<page_server> metrics_server_;
  boost::asio::steady_timer cleanup_timer_;
  fleet_view view_;
  bool shutting_down_ = false;
  std::thread thread_;
};

}  // namespace bluebell

#endif  // BLUEBELL_PROXY_TRAFFIC_SERVER_H_
