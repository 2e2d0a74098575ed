// Sends lease requests to endpoints over HTTP. Each endpoint has one persistent
// connection and at most one request in flight. After a timeout a new
// connection is opened.

#ifndef BLUEBELL_DAEMON_INTERNAL_LEASE_SENDER_H_
#define BLUEBELL_DAEMON_INTERNAL_LEASE_SENDER_H_

#include <functional>
#include <map>
#include <memory>

#include "bluebell/control/control_event.h"
#include "bluebell/core/address.h"
#include "bluebell/core/time.h"
#include "bluebell/http/http_client.h"
#include "bluebell/ownership/lease_request.h"

namespace bluebell {

class lease_sender {
 public:
  using done_handler = std::function<void(lease_request_done)>;

  // `on_done` is called once for each request, never from within Send.
  lease_sender(boost::asio::io_context& io,
               milliseconds timeout,
               done_handler on_done);

  // Sends a request to the endpoint at `where`. The request ends with
  // errc::kUnavailable if another one to `where` is in flight.
  void Send(const address& where, const lease_request& request, instant now);

  // Closes connections on which nothing was sent for a minute.
  void Sweep(instant now);

 private:
  struct connection {
    std::unique_ptr<http_client> client;
    bool busy = false;
    instant last_sent;
  };

  void Finish(const address& where,
              const endpoint_id& endpoint,
              instant sent_at,
              const result<http_response>& response);
  void Fail(const address& where,
            const endpoint_id& endpoint,
            instant now,
            const error& cause);

  boost::asio::io_context& io_;
  milliseconds timeout_;
  done_handler on_done_;
  std::map<address, connection> connections_;
};

}  // namespace bluebell

#endif  // BLUEBELL_DAEMON_INTERNAL_LEASE_SENDER_H_
