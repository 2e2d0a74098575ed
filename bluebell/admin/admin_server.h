// The operators' HTTP server. It turns requests into operator commands and
// decides nothing itself:
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

  // Answers a command. Both handlers are called on the server's thread and
  // may call the reply handler on any thread, once.
  std::function<void(operator_command command, reply_handler done)> command;
  // Says what became of a request.
  std::function<void(const request_id& id, reply_handler done)> explain_request;
};

class admin_server {
 public:
  // `io` is run by one thread; `io` and `metrics` outlive the server.
  static result<std::unique_ptr<admin_server>> Make(
      boost::asio::io_context& io,
      const address& listen,
      const admin_handlers& handlers,
      metrics_registry& metrics);

  admin_server(const admin_server&) = delete;
  admin_server& operator=(const admin_server&) = delete;
  // Stops accepting; answers under way are still sent.
  ~admin_server();

  // Where it listens; differs from the address asked for if that had port 0.
  const address& listen_address() const;

 private:
  explicit admin_server(std::shared_ptr<tcp_listener> listener);

  std::shared_ptr<tcp_listener> listener_;
};

}  // namespace bluebell

#endif  // BLUEBELL_ADMIN_ADMIN_SERVER_H_
