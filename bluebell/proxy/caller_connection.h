// An HTTP connection from a caller. Reads pipelined requests ahead, has
// idempotent ones served at the same time, and writes the responses in the
// order of the requests; request_pipeline decides which. If the caller closes
// the connection, the requests that are being served are cancelled. Used on the
// traffic thread only.
//
//   auto connection = std::make_shared<caller_connection>(std::move(socket),
//                                                         handler, state);
//   connection->Start();

#ifndef BLUEBELL_PROXY_CALLER_CONNECTION_H_
#define BLUEBELL_PROXY_CALLER_CONNECTION_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>

#include "bluebell/core/byte_reservation.h"
#include "bluebell/core/time.h"
#include "bluebell/fleet/caller_bounds.h"
#include "bluebell/http/http_message.h"
#include "bluebell/proxy/request_pipeline.h"
#include "bluebell/proxy/served_response.h"

namespace bluebell {

class byte_budget;
class delivery_guard;

// Settings and counters that all caller connections of a daemon share. Changes
// of the settings take effect on open connections.
struct shared_connection_state {
  caller_bounds bounds;
  // Limits the bytes of all requests that are read or served. Null: no limit.
  std::shared_ptr<byte_budget> request_memory;
  // True if the daemon shuts down: the last response of each connection then
  // asks the caller to close it.
  bool stopping = false;
  // Connections with a request that is served or whose response isn't
  // delivered yet.
  std::size_t busy_count = 0;
};

// The functions that serve the requests of all connections.
struct caller_request_handler {
  // Returns the final response to the request, which exists until then. The
  // coroutine is cancelled when the caller closes its connection.
  std::function<boost::asio::awaitable<served_response>(
      const http_request& request,
      instant arrived)>
      serve;
  std::function<bool(const http_request& request)> is_idempotent;
};

class caller_connection
    : public std::enable_shared_from_this<caller_connection> {
 public:
  caller_connection(boost::asio::ip::tcp::socket socket,
                    std::shared_ptr<const caller_request_handler> handler,
                    std::shared_ptr<shared_connection_state> state);
  caller_connection(const caller_connection&) = delete;
  caller_connection& operator=(const caller_connection&) = delete;
  ~caller_connection();

  // Starts to serve requests. The object owns itself until the connection is
  // closed. Call it once.
  void Start();

  // Closes the connection unless a request has begun to arrive or is served. If
  // the caller hasn't taken its last response yet, closes it after that.
  void CloseIfIdle();

 private:
  struct served_request;
  using request_parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  boost::asio::awaitable<void> Run();
  // Reads one request and starts to serve it. False if no further request is to
  // be read.
  boost::asio::awaitable<bool> ReadNextRequest();
  // Waits for the first bytes of a request. False if the connection is closed
  // or was idle for too long.
  boost::asio::awaitable<bool> WaitForInput();
  // Reads a request into `parser`.
  boost::asio::awaitable<boost::system::error_code> ReadRequest(
      request_parser& parser,
      byte_reservation& memory);
  boost::asio::awaitable<boost::system::error_code> ReadBody(
      request_parser& parser,
      byte_reservation& memory,
      std::size_t header_bytes);
  // Ends a request that could not be read. The caller gets a response if the
  // connection still works.
  void EndUnreadRequest(const boost::system::error_code& failure);
  // Waits until `condition` is true, and reads ahead meanwhile. False if the
  // caller has closed the connection.
  boost::asio::awaitable<bool> WaitUntil(std::function<bool()> condition);
  // Completes at the next progress of the pipeline, or after `max_wait`.
  boost::asio::awaitable<void> WaitForProgress(duration max_wait);
  // Reads what has arrived. False if the caller has closed its side.
  bool ReadAvailable();

  void StartServing(http_request request,
                    byte_reservation memory,
                    instant arrived);
  void OnServed(std::uint64_t number, served_response served);
  // Adds a response of this connection itself, after which it closes.
  void AddClosingResponse(http_response response);
  // Writes the responses that are due.
  void WriteResponses();
  boost::asio::awaitable<void> WriteDueResponses();
  boost::asio::awaitable<bool> Write(request_pipeline::next_response& next);
  // Delivers what is written before the connection is closed: unread input
  // would reset it.
  boost::asio::awaitable<void> CloseInOrder();
  // Cancels all requests and closes the connection.
  void Abort();
  // Closes the connection if no bytes of a request arrive within `limit`, not
  // counting the time during which requests are served.
  void LimitReadTime(duration limit);
  void ScheduleReadTimeout(instant time);
  void CheckReadTime(instant now);
  // True while a response is written or the caller has no room for its bytes.
  bool is_delivering() const;
  void OnDelivered();
  void UpdateBusy();

  boost::beast::tcp_stream stream_;
  // Null before Start().
  std::shared_ptr<delivery_guard> delivery_;
  // The memory of written responses that wait in the kernel for the caller.
  std::vector<byte_reservation> undelivered_memory_;
  boost::beast::flat_buffer buffer_;
  std::shared_ptr<const caller_request_handler> handler_;
  std::shared_ptr<shared_connection_state> shared_state_;
  request_pipeline pipeline_;
  std::map<std::uint64_t, std::shared_ptr<served_request>> served_requests_;
  // Cancelled at each progress of the pipeline.
  boost::asio::steady_timer progress_timer_;
  boost::asio::steady_timer read_timer_;
  duration read_limit_{0};
  // When the last response was written or, if the caller had no room for it,
  // delivered.
  instant last_written_at_;
  // CloseIfIdle() was called before the last response was delivered.
  bool closes_when_delivered_ = false;
  // True while ReadNextRequest() has a request or a part of one.
  bool has_request_ = false;
  // True if the caller has asked to close the connection.
  bool caller_closes_ = false;
  // True while responses are being written.
  bool writer_runs_ = false;
  bool closes_ = false;
  bool aborted_ = false;
  bool counted_as_busy_ = false;
};

}  // namespace bluebell

#endif  // BLUEBELL_PROXY_CALLER_CONNECTION_H_
