// An HTTP connection to an endpoint that runs one exchange (a request and its
// response) at a time. All functions must be called on the traffic thread that
// owns it.
//
//   auto connection = std::make_shared<endpoint_connection>(io, address);
//   connection->WhenConnected([=](boost::system::error_code failure) {
//     connection->Exchange(order, [](exchange_end& end) { ... });
//   });

#ifndef BLUEBELL_ENDPOINT_ENDPOINT_CONNECTION_H_
#define BLUEBELL_ENDPOINT_ENDPOINT_CONNECTION_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "bluebell/core/address.h"
#include "bluebell/core/request_outcome.h"
#include "bluebell/core/time.h"
#include "bluebell/http/http_message.h"

namespace bluebell {

// An exchange that ended without a complete response.
struct exchange_failure {
  // False only if it is certain that no byte of the message left this process.
  bool first_byte_written = false;
  unknown why;

  friend bool operator==(const exchange_failure&,
                         const exchange_failure&) = default;
};

using exchange_end = std::variant<http_response, exchange_failure>;

class endpoint_connection
    : public std::enable_shared_from_this<endpoint_connection> {
 public:
  using connect_handler = std::function<void(boost::system::error_code)>;
  // May move parts out of its argument.
  using end_handler = std::function<void(exchange_end& end)>;

  endpoint_connection(boost::asio::io_context& io,
                      const address& endpoint_address);
  endpoint_connection(const endpoint_connection&) = delete;
  endpoint_connection& operator=(const endpoint_connection&) = delete;
  ~endpoint_connection() = default;

  // Calls `done` at once if the connection is open. Otherwise opens it and
  // calls `done` with the result.
  void WhenConnected(connect_handler done);

  // Writes `message` and reads the complete response. As many bytes as the
  // socket accepts are written before the function returns. The connection must
  // be open and idle.
  void Exchange(http_request message, end_handler done);

  // Closes the connection. A pending exchange ends with a failure.
  void Close();

  // True if another exchange can start: the connection is open and idle, and
  // neither unexpected bytes nor the endpoint's close have arrived.
  bool IsReusable();

  // True if the connection is open and no exchange is in progress.
  bool IsIdle() const { return open_ && !is_exchanging_; }

  // When the latest exchange ended, or the construction time.
  instant idle_since() const { return idle_since_; }

 private:
  using response_parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  void OnWritten(boost::system::error_code failure, std::size_t bytes);
  void Read();
  void OnRead(boost::system::error_code failure);
  void Fail(bool first_byte_written, unknown_reason why, std::string detail);
  void FinishExchange(exchange_end end);

  boost::asio::ip::tcp::socket socket_;
  boost::asio::ip::tcp::endpoint endpoint_address_;
  boost::beast::flat_buffer buffer_;
  std::optional<response_parser> parser_;
  http_request message_;
  end_handler done_;
  bool open_ = false;
  bool is_exchanging_ = false;
  instant idle_since_;
};

}  // namespace bluebell

#endif  // BLUEBELL_ENDPOINT_ENDPOINT_CONNECTION_H_
