// One attempt to have an endpoint run an order: takes a connection, asks for
// permission, writes, and waits for the answer until the deadline.
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
  // The claim that the order carries.
  std::uint64_t dispatcher_epoch = 0;
  // Asked immediately before the write, with nothing in between.
  std::function<order_permission(instant now)> permit;
  // How long an answer may be missing before the connection counts as silent.
  duration silence{0};
};

class order_attempt : public std::enable_shared_from_this<order_attempt> {
 public:
  // Called with gone_silent any number of times, then once with another end,
  // unless the attempt is abandoned before.
  using on_event = std::function<void(attempt_end end)>;

  order_attempt(boost::asio::io_context& io,
                std::shared_ptr<endpoint_pool> pool,
                attempt_plan plan,
                on_event notify);
  order_attempt(const order_attempt&) = delete;
  order_attempt& operator=(const order_attempt&) = delete;
  ~order_attempt() = default;

  // May report the end of the attempt before it returns.
  void Begin();

  // Closes the connection and reports nothing from now on.
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
  endpoint_instance asked_;
  bool written_ = false;
  instant written_at_;
  instant silent_at_;
};

}  // namespace bluebell

#endif  // BLUEBELL_DISPATCHER_ORDER_ATTEMPT_H_
