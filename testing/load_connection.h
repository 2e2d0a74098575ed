// One keep-alive connection of the load generator.
//
//   connection->Send(request, limit, [](load_exchange result) { ... });

#ifndef BLUEBELL_TESTING_LOAD_CONNECTION_H_
#define BLUEBELL_TESTING_LOAD_CONNECTION_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/system/error_code.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "bluebell/core/address.h"
#include "bluebell/core/time.h"
#include "bluebell/http/http_message.h"

namespace bluebell {

// A failure or a whole response.
struct load_exchange {
  boost::system::error_code failure;
  http_response response;
};

class load_connection : public std::enable_shared_from_this<load_connection> {
 public:
  using handler = std::function<void(load_exchange)>;

  load_connection(boost::asio::io_context& io, const address& target);

  // Connects first if need be.
  void Send(http_request request, duration limit, handler done);

  // False if the peer has closed the idle connection.
  bool IsOpen();

 private:
  void Write();
  void Read();
  void Finish(boost::system::error_code failure);

  boost::asio::ip::tcp::endpoint target_;
  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  std::optional<
      boost::beast::http::response_parser<boost::beast::http::string_body>>
      parser_;
  http_request request_;
  handler done_;
  bool connected_ = false;
};

}  // namespace bluebell

#endif  // BLUEBELL_TESTING_LOAD_CONNECTION_H_
