// A small HTTP/1.1 server for the test programs, on one thread.
//
//   auto server = http_server::Start(
//       io, {address, 130, milliseconds(1)},
//       [](const http_request& request, http_responder respond) {
//         respond(http_response(bhttp::status::ok, 11));
//       });

#ifndef BLUEBELL_TESTING_HTTP_SERVER_H_
#define BLUEBELL_TESTING_HTTP_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "bluebell/core/address.h"
#include "bluebell/core/result.h"
#include "bluebell/core/time.h"
#include "bluebell/http/http_message.h"
#include "testing/response_fault.h"

namespace bluebell {

// Sends the response to one request; called once, at any later time.
using http_responder = std::function<void(http_response)>;
using http_handler =
    std::function<void(const http_request& request, http_responder respond)>;

struct http_server_options {
  address listen;
  // Further connections are reset.
  std::uint32_t max_connections = 4096;
  // How long accepting one connection takes; the next one waits for it.
  milliseconds accept_time{0};

  friend bool operator==(const http_server_options&,
                         const http_server_options&) = default;
};

class http_server {
 public:
  static result<std::shared_ptr<http_server>> Start(
      boost::asio::io_context& io,
      const http_server_options& options,
      http_handler handler);

  // `choose` is asked before each response. Call it before the first request.
  void SetResponseFaults(std::function<response_fault()> choose);
  // `on_closed` gets each request whose caller closes the connection before the
  // response is sent. Call it before the first request.
  void SetCloseHandler(std::function<void(const http_request&)> on_closed);
  // `limit` is asked at each new connection and replaces max_connections.
  void SetConnectionLimit(std::function<std::size_t()> limit);

  // Closes the listening socket and resets all connections.
  void Stop();

  std::size_t connections() const;
  // The most connections that were open at the same time.
  std::size_t peak_connections() const;

  // The implementation; public for the sessions only.
  struct state;

 private:
  explicit http_server(std::shared_ptr<state> initial);

  std::shared_ptr<state> state_;
};

// A JSON response.
http_response JsonResponse(unsigned status, const std::string& json);

}  // namespace bluebell

#endif  // BLUEBELL_TESTING_HTTP_SERVER_H_
