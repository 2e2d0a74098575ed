// Accepts links of other daemons on the peer port.
//
//   auto server = peer_server::Make({&io}, listen, handler, metrics);

#ifndef BLUEBELL_PEER_PEER_SERVER_H_
#define BLUEBELL_PEER_PEER_SERVER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "bluebell/core/address.h"
#include "bluebell/core/result.h"
#include "bluebell/wire/wire_message.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace bluebell {

class metrics_registry;

// Sends the answer to a request. May be called from any thread; every call but
// the first is ignored, and so is a call for a one-way message. An answer for
// a connection that is gone is dropped and counted.
using peer_reply = std::function<void(const wire_message&)>;

// Takes in a message, on the thread of the connection it came by. `peer` is the
// other end's address, for errors and log lines.
using peer_handler = std::function<
    void(wire_message message, const std::string& peer, peer_reply reply)>;

class peer_server {
 public:
  // Connections are spread over `workers`, each an io_context that one thread
  // runs; the first one accepts. `handler` is called on all their threads.
  // `workers` and `metrics` outlive the server.
  static result<std::unique_ptr<peer_server>> Make(
      const std::vector<boost::asio::io_context*>& workers,
      const address& listen,
      const peer_handler& handler,
      metrics_registry& metrics);

  peer_server(const peer_server&) = delete;
  peer_server& operator=(const peer_server&) = delete;
  // Closes all connections.
  ~peer_server();

  // From any thread. Connections that exist go on.
  void StopAccepting();

  // Where it listens; differs from the address asked for if that had port 0.
  const address& listen_address() const;

 private:
  class impl;
  explicit peer_server(std::shared_ptr<impl> state);

  std::shared_ptr<impl> impl_;
};

}  // namespace bluebell

#endif  // BLUEBELL_PEER_PEER_SERVER_H_
