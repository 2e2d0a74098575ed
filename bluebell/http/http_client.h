// An HTTP client for one address. It keeps connections open and reuses them.
// Each connection carries one call at a time; a call that times out closes its
// connection, so that a late response can't be taken for that of another call.
//
// All functions and handlers run on the thread of the io_context.
//
//   auto client = http_client::Make(io, remote_address, http_client_options());
//   client.value()->Call(request, milliseconds(200), step::kReadStore,
//                        [](result<http_response> response) { ... });

#ifndef BLUEBELL_HTTP_HTTP_CLIENT_H_
#define BLUEBELL_HTTP_HTTP_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "bluebell/core/address.h"
#include "bluebell/core/error.h"
#include "bluebell/core/result.h"
#include "bluebell/core/time.h"
#include "bluebell/http/http_message.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace bluebell {

struct http_client_options {
  // The number of calls in flight at a time. Further calls fail with
  // errc::kUnavailable.
  std::size_t max_calls = 64;
  // A call with a larger response body fails.
  std::uint64_t max_body_bytes = 8U << 20U;
  // A connection that has been idle for this time isn't used again, so that a
  // call doesn't fail because the server closes the connection meanwhile.
  milliseconds idle_timeout{5'000};
  // False: each call has a connection of its own. Nothing that the server sends
  // for other calls can then be taken for the response. Necessary where a
  // response has no field that names its call and is proof of something.
  bool reuse_connections = true;

  friend bool operator==(const http_client_options&,
                         const http_client_options&) = default;
};

class http_client {
 public:
  using response_handler = std::function<void(result<http_response>)>;
  using send_check = std::function<bool()>;

  // Fails if `remote_address` holds no IP address.
  static result<std::unique_ptr<http_client>> Make(
      boost::asio::io_context& io,
      const address& remote_address,
      const http_client_options& options);

  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;
  // Calls in flight continue and call their handlers.
  ~http_client();

  // Sends `request` and calls `done` exactly once, never before this function
  // returns: with the response, whatever its status, or with an error that
  // names `call_step`. errc::kUnavailable means that nothing was sent; after
  // any other error the request may have been received. No request is sent
  // twice.
  //
  // `may_send`, if given, is called once the connection is open, right before
  // the request is written. If it returns false, nothing is sent.
  void Call(http_request request,
            milliseconds timeout,
            step call_step,
            response_handler done,
            send_check may_send = nullptr);
  // Resets the connections of all calls in flight, so that no more bytes of
  // their requests are sent, nor sent again. Bytes that have left this host may
  // still arrive. The handlers get an error.
  void CancelCalls();

 private:
  class impl;
  explicit http_client(std::shared_ptr<impl> state);

  std::shared_ptr<impl> impl_;
};

}  // namespace bluebell

#endif  // BLUEBELL_HTTP_HTTP_CLIENT_H_
