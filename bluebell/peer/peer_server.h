// Accepts the links of other daemons on the peer port.
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

// Sends the answer to a request. May be called from any thread. Calls after the
// first one and calls for a one-way message are ignored. An answer for a closed
// connection is dropped and counted.
using peer_reply = std::function<void(const wire_message&)>;

// Handles a message. Called on the thread of the connection that received it.
// `peer` is the address of the other end, for errors and log lines.
using peer_handler = std::function<
    void(wire_message message, const std::string& peer, peer_reply reply)>;

class peer_server {
 public:
  // Distributes connections over `workers`, each an io_context that is run by
  // one thread. The first one accepts them. `handler` is called on all these
  // threads. `workers` and `metrics` must outlive the server. Fails with
  // step::kListen.
  static result<std::unique_ptr<peer_server>> Make(
      const std::vector<boost::asio::io_context*>& workers,
      const address& listen,
      const peer_handler& handler,
      metrics_registry& metrics);

  peer_server(const peer_server&) = delete;
  peer_server& operator=(const peer_server&) = delete;
  // Closes all connections.
  ~peer_server();

  // May be called from any thread. Existing connections stay open.
  void StopAccepting();

  // The address of the socket, with the port that was selected if the requested
  // one was 0.
  const address& listen_address() const;

 private:
  class impl;
  explicit peer_server(std::shared_ptr<impl> state);

  std::shared_ptr<impl> impl_;
};

}  // namespace bluebell

#endif  // BLUEBELL_PEER_PEER_SERVER_H_
