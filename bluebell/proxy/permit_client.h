// Gets permits from the dispatchers of services and releases them. Sends
// messages that may have been lost again, and uses the next daemon in the
// dispatcher order if a dispatcher doesn't answer. Used on the traffic thread
// only.
//
//   acquire_result acquired = co_await client.Acquire(request, deadline);
//   ...
//   client.Release(release);

#ifndef BLUEBELL_PROXY_PERMIT_CLIENT_H_
#define BLUEBELL_PROXY_PERMIT_CLIENT_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "bluebell/core/address.h"
#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"
#include "bluebell/fleet/fleet_snapshot.h"
#include "bluebell/permits/permit_message.h"
#include "bluebell/proxy/shutdown_window.h"
#include "bluebell/wire/wire_message.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace bluebell {

class peer_socket;
class permit_dispatcher;

// The final reply to a permit request.
struct acquire_result {
  permit_id id;
  // The dispatcher that got the request last; nullopt if it is this daemon.
  std::optional<address> dispatcher;
  // permit_refusal::kOverloaded also if the deadline passed, or the coroutine
  // was cancelled, before a reply came; kShuttingDown if the daemon's shutdown
  // left no time to wait longer.
  std::variant<permit_granted, permit_refused> reply;
};

class permit_client {
 public:
  permit_client(boost::asio::io_context& io,
                daemon_instance self,
                peer_socket& peers,
                permit_dispatcher& local_dispatcher);
  permit_client(const permit_client&) = delete;
  permit_client& operator=(const permit_client&) = delete;
  ~permit_client() = default;

  // Sets the members that can be dispatchers. Call it before Acquire().
  void SetView(fleet_view view);

  // Requests a permit and waits for it until `deadline`. Sets the id and the
  // remaining times of the permit request. If the coroutine is cancelled, the
  // request is withdrawn.
  boost::asio::awaitable<acquire_result> Acquire(permit_request request,
                                                 instant deadline);
  // Releases a granted permit: tells its dispatcher, and the current dispatcher
  // of the service if that is another one, how its use ended. Does nothing for
  // a permit that is not in use.
  void Release(const permit_release& release);

  // Tells the dispatcher of the service that the endpoint is leaving. Does
  // nothing if this daemon is the dispatcher.
  void ReportLeaving(const service_name& service,
                     const endpoint_instance& endpoint);

  // Handle messages from dispatchers.
  void OnReply(const address& from, const permit_reply& reply);
  void OnReportAck(const address& from, const permit_report_ack& ack);

  // Ends the waits for permits, also those that have begun, so that all callers
  // have a response before the process exits. Each wait ends as soon as the
  // dispatcher knows that it would last too long.
  void BeginShutdown(const shutdown_window& window);

  // Starts to report the permits in use to the dispatchers at regular
  // intervals.
  void StartReports();

 private:
  // A permit request without a final reply.
  struct pending_request {
    explicit pending_request(boost::asio::io_context& io) : timer(io) {}

    boost::asio::steady_timer timer;
    std::optional<std::variant<permit_granted, permit_refused>> reply;
    // True if the dispatcher has confirmed that the request is in its queue.
    bool queued = false;
    service_name service;
    // The dispatcher that got the request last; nullopt if it is this daemon,
    // or before the first one.
    std::optional<address> last_dispatcher;
  };
  // A granted permit that is not yet released.
  struct permit_in_use {
    open_permit open;
    service_name service;
    // nullopt if it is this daemon.
    std::optional<address> granting_dispatcher;
  };
  // The state of a daemon as a dispatcher.
  struct peer_state {
    instant last_heard;
    // True if it doesn't answer or its state of the store is too old. It gets
    // no permit requests until it answers and is up to date.
    bool silent = false;
    // Since when its state of the store has been older than this daemon's.
    std::optional<instant> outdated_since;
  };

  // When a wait that may last until `deadline` ends.
  instant WaitLimit(instant deadline) const;
  // The first daemon in the service's dispatcher order that isn't silent;
  // nullopt if it is this daemon.
  std::optional<address> DispatcherOf(const service_name& service);
  // For the functions below, nullopt as the address means this daemon.
  void SendPermitRequest(const permit_request& request,
                         const std::optional<address>& to);
  void Withdraw(const permit_id& id, const pending_request& pending);
  void SendRelease(const permit_release& release,
                   const std::optional<address>& to);
  void HandleReply(const permit_reply& reply,
                   const std::optional<address>& from);
  void MarkSilent(const address& peer);
  void ReportAll();
  // Reports the permits of one service that are in use.
  void Report(const service_name& service, const std::optional<address>& to);

  boost::asio::io_context& io_;
  daemon_instance self_;
  peer_socket& peers_;
  permit_dispatcher& local_dispatcher_;
  fleet_view view_;
  // Computed from the view when first needed.
  std::map<service_name, std::vector<fleet_member>> dispatcher_orders_;
  std::map<address, peer_state> peer_states_;
  std::map<permit_id, std::shared_ptr<pending_request>> pending_;
  std::map<permit_id, permit_in_use> permits_in_use_;
  // When a permit of each service was last requested. Reports on a service
  // continue for some time after that.
  std::map<service_name, instant> last_requested_;
  std::uint64_t next_permit_number_ = 1;
  std::optional<shutdown_window> shutdown_;
  boost::asio::steady_timer report_timer_;
};

}  // namespace bluebell

#endif  // BLUEBELL_PROXY_PERMIT_CLIENT_H_
