// One attempt to send an order to an endpoint: takes a connection, checks the
// permission, writes the order and waits for the answer until the deadline.
// Used on one traffic thread.
//
//   auto attempt = std::make_shared<order_attempt>(io, pool, plan, on_event);
//   attempt->Begin();

#ifndef BLUEBELL_DISPATCHER_ORDER_ATTEMPT_H_
#define BLUEBELL_DISPATCHER_ORDER_ATTEMPT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>

#include "bluebell/core/caller_request.h"
#include "bluebell/core/time.h"
#include "bluebell/dispatcher/order_permission.h"
#include "bluebell/dispatcher/order_rules.h"
#include "bluebell/endpoint/endpoint_connection.h"

namespace bluebell {

class endpoint_pool;

struct attempt_plan {
  std::shared_ptr<const caller_request> request;
  // The epoch of the dispatch claim under which the order is sent.
  std::uint64_t dispatcher_epoch = 0;
  // Called immediately before the write; no other event can come in between.
  std::function<order_permission(instant now)> check_permission;
  // After this time without a connection the attempt fails; after this time
  // without an answer, and each time that it passes again, it reports
  // reply_overdue.
  duration silence_timeout{0};
};

class order_attempt : public std::enable_shared_from_this<order_attempt> {
 public:
  // Called any number of times with reply_overdue and then once with another
  // end, unless the attempt is abandoned before.
  using on_event = std::function<void(attempt_end end)>;

  order_attempt(boost::asio::io_context& io,
                std::shared_ptr<endpoint_pool> pool,
                attempt_plan plan,
                on_event notify);
  order_attempt(const order_attempt&) = delete;
  order_attempt& operator=(const order_attempt&) = delete;
  ~order_attempt() = default;

  // Begins the attempt. Its end may be reported before this returns.
  void Begin();

  // Gives the connection back, which closes it if the exchange is still
  // running. Nothing is reported after this.
  void Abandon();

 private:
  void Write();
  void OnExchangeEnd(exchange_end& end);
  void ArmTimer();
  void OnTimer();
  void Finish(attempt_end end);
  void Release();

  std::shared_ptr<endpoint_pool> pool_;
  attempt_plan plan_;
  on_event notify_;
  boost::asio::steady_timer timer_;
  std::shared_ptr<endpoint_connection> connection_;
  endpoint_instance target_instance_;
  bool written_ = false;
  instant written_at_;
  // When the connection attempt fails or reply_overdue is reported.
  instant next_timeout_;
};

}  // namespace bluebell

#endif  // BLUEBELL_DISPATCHER_ORDER_ATTEMPT_H_
