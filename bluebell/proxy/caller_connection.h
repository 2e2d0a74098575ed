// An HTTP connection from a caller. Reads one request at a time and writes its
// response before it reads the next one. Used on the traffic thread only.
//
//   auto connection = std::make_shared<caller_connection>(std::move(socket),
//                                                         server, state);
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

// Settings that all caller connections of a daemon share. Changes take
// effect on open connections.
struct shared_connection_state {
  caller_bounds bounds;
  // True if the daemon shuts down: each response then asks the caller to close
  // the connection.
  bool close_after_response = false;
};

class caller_connection
    : public std::enable_shared_from_this<caller_connection> {
 public:
  caller_connection(boost::asio::ip::tcp::socket socket,
                    request_server& server,
                    std::shared_ptr<const shared_connection_state> state);
  caller_connection(const caller_connection&) = delete;
  caller_connection& operator=(const caller_connection&) = delete;
  ~caller_connection() = default;

  // Starts to serve requests. The object owns itself until the connection is
  // closed. Call it once.
  void Start();

  // Closes the connection unless a request is being read or served.
  void CloseIfIdle();

 private:
  boost::asio::awaitable<void> Run();
  // Waits for the first bytes of a request. False if the connection is closed
  // or was idle for too long.
  boost::asio::awaitable<bool> WaitForRequest();
  // Reads one request and writes its response. False if the connection can't be
  // used for another request.
  boost::asio::awaitable<bool> ServeNextRequest();
  // True if the caller has closed its side and no unread bytes remain. Doesn't
  // wait.
  bool CallerHasClosed();
  // Completes when the caller has closed its side. Doesn't complete if the
  // caller has already sent its next request.
  boost::asio::awaitable<void> WaitForClose();
  // Answers a request that could not be read.
  boost::asio::awaitable<void> RefuseMalformed(unsigned status);
  // Writes the response, and keeps the connection open afterwards if
  // `keep_open` is true and the daemon doesn't shut down. False if it is not
  // kept open.
  boost::asio::awaitable<bool> Write(http_response response, bool keep_open);

  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  request_server& server_;
  std::shared_ptr<const shared_connection_state> shared_state_;
  // True while ServeNextRequest() runs.
  bool serving_ = false;
};

}  // namespace bluebell

#endif  // BLUEBELL_PROXY_CALLER_CONNECTION_H_
