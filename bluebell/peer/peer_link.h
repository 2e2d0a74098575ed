// A TCP link to another daemon. It connects when there is a message to send,
// and reconnects after a connection was lost or stopped responding.
//
// All functions and handlers run on the thread of the io_context.
//
//   auto link = peer_link::Make(io, peer, peer_link_options(), metrics);
//   link.value()->SendRequest(query, milliseconds(200),
//                             [](result<wire_message> reply) { ... });

#ifndef BLUEBELL_PEER_PEER_LINK_H_
#define BLUEBELL_PEER_PEER_LINK_H_

#include <functional>
#include <memory>

#include "bluebell/core/address.h"
#include "bluebell/core/result.h"
#include "bluebell/core/time.h"
#include "bluebell/peer/peer_link_options.h"
#include "bluebell/wire/wire_message.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace bluebell {

class metrics_registry;

class peer_link {
 public:
  using reply_handler = std::function<void(result<wire_message>)>;

  // Fails with errc::kInvalidArgument if the address has no valid IP address.
  // `io` and `metrics` must outlive the link and its handlers.
  static result<std::unique_ptr<peer_link>> Make(
      boost::asio::io_context& io,
      const address& peer_address,
      const peer_link_options& options,
      metrics_registry& metrics);

  peer_link(const peer_link&) = delete;
  peer_link& operator=(const peer_link&) = delete;
  // Requests without an answer end with errc::kConnectionLost.
  ~peer_link();

  // Sends a message that has no answer. It may get lost. It is dropped and
  // counted if it would exceed peer_link_options::max_backlog_bytes.
  void Send(const wire_message& message);

  // Sends a request and calls `done` once, after this call has returned:
  // - with the answer;
  // - with errc::kUnavailable or errc::kTooLarge if nothing was sent;
  // - with errc::kTimeout or errc::kConnectionLost if the peer may have
  // received
  //   the request. The peer may still process it.
  // The link never sends a request twice.
  void SendRequest(const wire_message& message,
                   milliseconds timeout,
                   reply_handler done);

  const address& peer_address() const;

 private:
  class impl;
  explicit peer_link(std::shared_ptr<impl> state);

  std::shared_ptr<impl> impl_;
};

}  // namespace bluebell

#endif  // BLUEBELL_PEER_PEER_LINK_H_
