// One caller's connection: reads requests one after the other and writes each
// response before it reads the next. Lives on the traffic thread.
//
//   auto connection = std::make_shared<caller_connection>(socket, server,
//                                                         state);
//   connection->Start();

#ifndef BLUEBELL_PROXY_CALLER_CONNECTION_H_
#define BLUEBELL_PROXY_CALLER_CONNECTION_H_

#include <memory>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "bluebell/fleet/caller_bounds.h"
#include "bluebell/http/http_message.h"

namespace bluebell {

class request_server;

// What all connections of a daemon go by.
struct caller_state {
  caller_bounds bounds;
  // Each response asks the caller to close the connection.
  bool closing = false;
};

class caller_connection
    : public std::enable_shared_from_this<caller_connection> {
 public:
  caller_connection(boost::asio::ip::tcp::socket socket,
                    request_server& server,
                    std::shared_ptr<const caller_state> state);
  caller_connection(const caller_connection&) = delete;
  caller_connection& operator=(const caller_connection&) = delete;
  ~caller_connection() = default;

  // The connection lives until it is closed.
  void Start();

  // Closes it if no request is being served.
  void CloseIfIdle();

 private:
  boost::asio::awaitable<void> Run();
  // False if the connection is of no further use.
  boost::asio::awaitable<bool> WaitForRequest();
  boost::asio::awaitable<bool> ServeOne();
  // True if the caller has closed its side, as far as can be told at once.
  bool HasLeft();
  // Ends when the caller has closed its side.
  boost::asio::awaitable<void> WaitForClose();
  boost::asio::awaitable<void> RefuseMalformed(unsigned status);
  boost::asio::awaitable<bool> Write(http_response response, bool keep);

  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  request_server& server_;
  std::shared_ptr<const caller_state> state_;
  bool serving_ = false;
};

}  // namespace bluebell

#endif  // BLUEBELL_PROXY_CALLER_CONNECTION_H_
