// The dispatcher of permits in a daemon: has a slot_scheduler for each service,
// and passes the scheduler's replies to the requesters, in this process or on
// other daemons. Used on the traffic thread only.
//
//   permit_dispatcher dispatcher(io, self, allowance, price, metrics);
//   dispatcher.SetView(view, now);
//   dispatcher.RequestPermit(request, reply_sink, now);

#ifndef BLUEBELL_PROXY_PERMIT_DISPATCHER_H_
#define BLUEBELL_PROXY_PERMIT_DISPATCHER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"
#include "bluebell/fleet/fleet_snapshot.h"
#include "bluebell/keyspace/unserved_range.h"
#include "bluebell/permits/admission_counts.h"
#include "bluebell/permits/permit_message.h"
#include "bluebell/permits/slot_scheduler.h"
#include "bluebell/permits/warmup_allowance.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace bluebell {

class metrics_registry;

class permit_dispatcher {
 public:
  using reply_sink = std::function<void(const permit_reply& reply)>;

  // `allowance` limits the requests to cold endpoints. The price is that of
  // gateway_settings.
  permit_dispatcher(boost::asio::io_context& io,
                    daemon_instance self,
                    warmup_allowance allowance,
                    std::uint32_t cross_domain_price_ms_per_mb,
                    metrics_registry& metrics);
  permit_dispatcher(const permit_dispatcher&) = delete;
  permit_dispatcher& operator=(const permit_dispatcher&) = delete;
  ~permit_dispatcher() = default;

  // Sets the services, their endpoints and the owners of their keys. A view
  // without a configuration is ignored.
  void SetView(const fleet_view& view, instant now);

  // Sets the key ranges of the service that no endpoint serves at the moment.
  // Ignored for an unknown service.
  void SetUnservedRanges(const service_name& service,
                         const std::vector<unserved_range>& unserved,
                         instant now);

  // Requests a permit. `sink` is called for each reply, the last of which
  // grants or refuses the permit. The first call may come before
  // RequestPermit() returns. A repeat of a request replaces its sink.
  void RequestPermit(const permit_request& request,
                     reply_sink sink,
                     instant now);
  // Releases a permit, or withdraws its request. `sink` isn't called any more.
  void ReleasePermit(const permit_release& release, instant now);
  // Handles a requester's report of the permits that it uses.
  void Report(const permit_report& report, instant now);

  // Null for a service without a configuration.
  const slot_scheduler* FindScheduler(const service_name& service) const;

 private:
  // The permit requests of one service.
  struct service_queue {
    service_queue(boost::asio::io_context& io, const service_name& service)
        : scheduler(service), timer(io) {}

    slot_scheduler scheduler;
    boost::asio::steady_timer timer;
    // When the timer expires; nullopt if it isn't set.
    std::optional<instant> wakeup_at;
    // For requests without a final reply.
    std::map<permit_id, reply_sink> sinks;
    // The promises that are in the metrics already.
    admission_counts counted;
  };

  // Null for an unknown service.
  service_queue* FindQueue(const service_name& service);
  // Passes the replies that are due to their sinks and sets the timer.
  void DeliverReplies(service_queue& queue, instant now);
  // Sets the limit of the service's cold endpoints.
  void SetColdStart(service_queue& queue,
                    const fleet_service& service,
                    const fleet_snapshot& view,
                    instant now);
  void ReportColdStartHolds(service_queue& queue);
  static void LogShareChanges(service_queue& queue);
  void LogRefusal(const service_queue& queue, const permit_reply& reply) const;
  void ScheduleWakeup(service_queue& queue, instant now);
  // Adds the new promises to the metrics.
  void CountPromises(service_queue& queue);

  boost::asio::io_context& io_;
  daemon_instance self_;
  warmup_allowance allowance_;
  std::uint32_t cross_domain_price_ms_per_mb_;
  metrics_registry& metrics_;
  // Of the newest view; stated in granted permits and in the log.
  store_version endpoints_revision_;
  std::map<service_name, std::unique_ptr<service_queue>> queues_;
};

}  // namespace bluebell

#endif  // BLUEBELL_PROXY_PERMIT_DISPATCHER_H_
