// All that serves traffic in a gateway daemon, on one thread of its own:
// callers' connections, endpoints' connections, permits, and the messages of
// other daemons.
//
//   auto traffic = traffic_side::Start(settings, self, metrics, hooks).value();
//   traffic->Publish(view);

#ifndef BLUEBELL_PROXY_TRAFFIC_SIDE_H_
#define BLUEBELL_PROXY_TRAFFIC_SIDE_H_

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
#include "bluebell/keyspace/coordinator_change.h"
#include "bluebell/keyspace/shard_load.h"
#include "bluebell/keyspace/unheld_range.h"
#include "bluebell/proxy/caller_connection.h"
#include "bluebell/proxy/endpoint_channels.h"
#include "bluebell/proxy/permit_client.h"
#include "bluebell/proxy/permit_desk.h"
#include "bluebell/proxy/request_server.h"
#include "bluebell/settings/gateway_settings.h"
#include "bluebell/wire/wire_message.h"

namespace bluebell {

class metrics_registry;
class page_server;
class peer_socket;
class tcp_listener;

// The work of a keyed service as its dispatcher measured it.
struct measured_load {
  service_name service;
  std::vector<shard_load> keys;
  std::map<endpoint_id, double> capacities;
};

// Called on the traffic thread; none may block.
struct traffic_side_hooks {
  std::function<void(const address& from, const coordinator_claim& claim)>
      claimed;
  std::function<void(const address& from, const coordinator_yield& yield)>
      yielded;
  // Another daemon knows a newer state of the store.
  std::function<void(std::uint64_t revision)> newer_revision;
};

class traffic_side {
 public:
  static result<std::unique_ptr<traffic_side>> Start(
      const gateway_settings& settings,
      const daemon_instance& self,
      metrics_registry& metrics,
      const traffic_side_hooks& hooks);
  traffic_side(const traffic_side&) = delete;
  traffic_side& operator=(const traffic_side&) = delete;
  // Ends the thread; requests that are still served are cut off.
  ~traffic_side();

  // All functions may be called from any thread.

  void Publish(const fleet_view& view);
  void SendPeer(const address& to, const wire_message& message);
  // What the coordinator in this process knows of keys that nobody serves.
  void SetUnheld(const service_name& service,
                 const std::vector<unheld_range>& unheld);
  // Calls `done` on the traffic thread.
  void Measure(const service_name& service,
               std::function<void(measured_load load)> done);

  // Not ready any more; callers are asked to close their connections.
  void BeginShutdown();
  // Accepts nothing more and closes idle connections.
  void StopAccepting();
  // Calls `done` on the traffic thread with the number of requests served.
  void CountActive(std::function<void(std::size_t active)> done);

 private:
  traffic_side(gateway_settings settings,
               const daemon_instance& self,
               metrics_registry& metrics,
               traffic_side_hooks hooks,
               std::unique_ptr<boost::asio::io_context> io,
               std::unique_ptr<peer_socket> peers);

  result<bool> OpenListeners();
  void Adopt(const fleet_view& view);
  bool CanDispatch() const;
  void OnMessage(const address& from, const wire_message& message);
  void AddCaller(boost::asio::ip::tcp::socket socket);
  void ScheduleCleaning();
  http_response AnswerReadiness(const http_request& request) const;

  gateway_settings settings_;
  metrics_registry& metrics_;
  traffic_side_hooks hooks_;
  // Declared before what runs on it.
  std::unique_ptr<boost::asio::io_context> io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  std::unique_ptr<peer_socket> peers_;
  permit_desk desk_;
  permit_client permits_;
  endpoint_channels channels_;
  request_server server_;
  std::shared_ptr<caller_state> caller_state_;
  std::vector<std::weak_ptr<caller_connection>> callers_;
  std::shared_ptr<tcp_listener> listener_;
  std::unique_ptr<page_server> ready_page_;
  std::unique_ptr<page_server> metrics_page_;
  boost::asio::steady_timer cleaning_;
  fleet_view view_;
  bool leaving_ = false;
  std::thread thread_;
};

}  // namespace bluebell

#endif  // BLUEBELL_PROXY_TRAFFIC_SIDE_H_
