// The HTTP server for operators. It translates HTTP requests into operator
// commands and passes them to handlers. It serves:
//   GET  /status, /config, /placement, /metrics
//   GET  /explain?service=NAME&key=KEY, /explain?request=ID
//   POST /config (a configuration change), /domain-lost ({"domain",
//        "operator", "reason"}), both as JSON
//
//   auto server = admin_server::Make(io, listen, handlers, metrics);

#ifndef BLUEBELL_ADMIN_ADMIN_SERVER_H_
#define BLUEBELL_ADMIN_ADMIN_SERVER_H_

#include <functional>
#include <memory>

#include "bluebell/control/operator_command.h"
#include "bluebell/core/address.h"
#include "bluebell/core/request_id.h"
#include "bluebell/core/result.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace bluebell {

class metrics_registry;
class tcp_listener;

struct admin_handlers {
  using reply_handler = std::function<void(operator_reply)>;

  // Executes a command. Both handlers are called on the server's thread. They
  // call `done` once, on any thread. A call after 15 s has no effect, because
  // the server has answered with status 504 by then.
  std::function<void(operator_command command, reply_handler done)> command;
  // Reports how the request with this id was routed and how it ended.
  std::function<void(const request_id& id, reply_handler done)> explain_request;
};

class admin_server {
 public:
  // Listens on `listen`; fails if that is not possible. One thread must run
  // `io`. `io` and `metrics` must outlive the server.
  static result<std::unique_ptr<admin_server>> Make(
      boost::asio::io_context& io,
      const address& listen,
      const admin_handlers& handlers,
      metrics_registry& metrics);

  admin_server(const admin_server&) = delete;
  admin_server& operator=(const admin_server&) = delete;
  // Stops accepting connections. Pending answers are still sent.
  ~admin_server();

  // The address on which the server listens. If `listen` had port 0, it has the
  // port that the system chose.
  const address& listen_address() const;

 private:
  explicit admin_server(std::shared_ptr<tcp_listener> listener);

  std::shared_ptr<tcp_listener> listener_;
};

}  // namespace bluebell

#endif  // BLUEBELL_ADMIN_ADMIN_SERVER_H_
