// A connection to a server, with what was read from it and isn't parsed yet.
// Closing it may reset the connection; see ResetOnClose().
//
//   server_connection link(io);
//   co_await link.stream.async_connect(target, kAwait);
//   link.delivery->BeginWrite(time_left);

#ifndef BLUEBELL_HTTP_SERVER_CONNECTION_H_
#define BLUEBELL_HTTP_SERVER_CONNECTION_H_

#include <memory>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace bluebell {

class delivery_guard;

struct server_connection {
  explicit server_connection(boost::asio::io_context& io);
  server_connection(const server_connection&) = delete;
  server_connection& operator=(const server_connection&) = delete;
  // The destructor of Asio's socket would undo the option that closing resets
  // the connection, so the socket is closed explicitly.
  ~server_connection();

  // False if the server has closed the connection or sent bytes without a
  // request.
  bool IsReusable();

  boost::beast::tcp_stream stream;
  // Closes the stream if the server doesn't take what is written.
  std::shared_ptr<delivery_guard> delivery;
  boost::beast::flat_buffer buffer;
};

}  // namespace bluebell

#endif  // BLUEBELL_HTTP_SERVER_CONNECTION_H_
