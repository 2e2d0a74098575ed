// Watches the delivery of the bytes that are written to a socket: keeps a
// connection whose peer reads slowly, and ends one whose peer is gone or takes
// too long. delivery_monitor decides which.
//
//   auto guard = delivery_guard::Make(socket, handlers);
//   guard->BeginWrite(message.body().size(), kMaxDeliveryTime);
//   co_await async_write(...);
//   guard->EndWrite();
//
// All functions and handlers run on the thread of the socket. The socket must
// exist as long as the guard.

#ifndef BLUEBELL_HTTP_DELIVERY_GUARD_H_
#define BLUEBELL_HTTP_DELIVERY_GUARD_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "bluebell/core/time.h"
#include "bluebell/http/delivery_monitor.h"

namespace bluebell {

struct delivery_handlers {
  // The peer is gone or has taken too long. Closes the socket.
  std::function<void()> on_failure;
  // The peer has taken bytes that it had no room for when they were written.
  // May be empty.
  std::function<void()> on_delivered = nullptr;
};

class delivery_guard : public std::enable_shared_from_this<delivery_guard> {
 public:
  static std::shared_ptr<delivery_guard> Make(
      boost::asio::ip::tcp::socket& socket,
      delivery_handlers handlers);
  delivery_guard(const delivery_guard&) = delete;
  delivery_guard& operator=(const delivery_guard&) = delete;
  ~delivery_guard() = default;

  // Called before each write of a message with `body_bytes`, which have to be
  // delivered within `max_delivery_time`, and after it.
  void BeginWrite(std::size_t body_bytes, duration max_delivery_time);
  void EndWrite();
  // Ends the watch. No handler is called any more.
  void Stop();

  // True while bytes are written, or wait in the kernel because the peer has no
  // room for them.
  bool is_active() const { return monitor_.active() && !stopped_; }

 private:
  delivery_guard(boost::asio::ip::tcp::socket& socket,
                 delivery_handlers handlers);

  void ScheduleCheck();
  void Check();
  void OnDelivered();
  void Fail(std::string_view reason);
  // Ends the checks until the next write.
  void EndChecks();
  // Sets TCP_USER_TIMEOUT unless it has that value.
  void ChangeUserTimeout(milliseconds user_timeout);

  boost::asio::ip::tcp::socket& socket_;
  delivery_handlers handlers_;
  delivery_monitor monitor_;
  boost::asio::steady_timer timer_;
  milliseconds user_timeout_ = kPeerSilenceTimeout;
  bool check_is_scheduled_ = false;
  // A write has left bytes for which the peer had no room.
  bool has_undelivered_ = false;
  bool stopped_ = false;
};

}  // namespace bluebell

#endif  // BLUEBELL_HTTP_DELIVERY_GUARD_H_
