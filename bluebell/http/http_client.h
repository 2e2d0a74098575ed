// HTTP calls to one address over connections that are kept open. Each
// connection carries one call at a time; a call that times out closes its
// connection, so that a late response can't reach another call.
//
// All functions and handlers run on the thread of the io_context.
//
//   auto client = http_client::Make(io, where, http_client_options());
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
  // Calls under way at a time; further ones fail at once.
  std::size_t max_calls = 64;
  std::uint64_t max_body_bytes = 8U << 20U;
  // An unused connection is closed rather than used again after this time, so
  // that a call doesn't meet the server's closing it.
  milliseconds idle{5'000};

  friend bool operator==(const http_client_options&,
                         const http_client_options&) = default;
};

class http_client {
 public:
  using response_handler = std::function<void(result<http_response>)>;

  // Fails if `where` holds no IP number.
  static result<std::unique_ptr<http_client>> Make(
      boost::asio::io_context& io,
      const address& where,
      const http_client_options& options);

  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;
  // Calls under way still end by calling their handlers.
  ~http_client();

  // Sends `request` and calls `done` once, never from within this call: with
  // the response, whatever its status, or with an error that names `at`.
  // errc::kUnavailable means that nothing was sent; after any other error the
  // request may have been received. Nothing is sent twice.
  void Call(http_request request,
            milliseconds timeout,
            step at,
            response_handler done);

 private:
  class impl;
  explicit http_client(std::shared_ptr<impl> state);

  std::shared_ptr<impl> impl_;
};

}  // namespace bluebell

#endif  // BLUEBELL_HTTP_HTTP_CLIENT_H_
