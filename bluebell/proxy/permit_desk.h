// The dispatcher's side of permits: a scheduler for each service, whoever asks.
// Lives on the traffic thread.
//
//   permit_desk desk(io);
//   desk.SetView(view, now);
//   desk.Ask(ask, [](const permit_reply& reply) { ... });

#ifndef BLUEBELL_PROXY_PERMIT_DESK_H_
#define BLUEBELL_PROXY_PERMIT_DESK_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"
#include "bluebell/fleet/fleet_snapshot.h"
#include "bluebell/keyspace/unheld_range.h"
#include "bluebell/permits/permit_message.h"
#include "bluebell/permits/slot_scheduler.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace bluebell {

class permit_desk {
 public:
  using reply_sink = std::function<void(const permit_reply& reply)>;

  explicit permit_desk(boost::asio::io_context& io);
  permit_desk(const permit_desk&) = delete;
  permit_desk& operator=(const permit_desk&) = delete;
  ~permit_desk() = default;

  void SetView(const fleet_view& view, instant now);

  void SetUnheld(const service_name& service,
                 const std::vector<unheld_range>& unheld,
                 instant now);

  // `sink` is called for each reply until the permit is granted or refused.
  void Ask(const permit_ask& ask, reply_sink sink, instant now);
  void End(const permit_end& end, instant now);
  void Report(const permit_report& report, instant now);

  // Null for a service without a configuration.
  const slot_scheduler* Find(const service_name& service) const;

 private:
  struct service_line {
    service_line(boost::asio::io_context& io, const service_name& service)
        : scheduler(service), timer(io) {}

    slot_scheduler scheduler;
    boost::asio::steady_timer timer;
    // When the timer is set to.
    std::optional<instant> wakeup;
    std::map<permit_id, reply_sink> sinks;
  };

  service_line* FindLine(const service_name& service);
  void Pump(service_line& line, instant now);
  void LogRefusal(const service_line& line, const permit_reply& reply) const;
  void ScheduleWakeup(service_line& line, instant now);

  boost::asio::io_context& io_;
  // Of the view, for the log.
  store_version endpoints_revision_;
  std::map<service_name, std::unique_ptr<service_line>> lines_;
};

}  // namespace bluebell

#endif  // BLUEBELL_PROXY_PERMIT_DESK_H_
