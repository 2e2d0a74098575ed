// A pool of HTTP connections to endpoints that are reused between requests.
// Each connection carries one request at a time. Responses to earlier requests
// are skipped, and attempt_history keeps apart those that could be confused; a
// connection with any other unexpected input, or without a complete response,
// is closed. An endpoint may send bytes without end; all
// responses together stay within a budget of memory. Used on the traffic thread
// only.
//
//   exchange_result end = co_await channels.Send(endpoint, request, options);

#ifndef BLUEBELL_PROXY_ENDPOINT_CONNECTION_POOL_H_
#define BLUEBELL_PROXY_ENDPOINT_CONNECTION_POOL_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/parser.hpp>

#include "bluebell/core/address.h"
#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"
#include "bluebell/fleet/fleet_endpoint.h"
#include "bluebell/http/http_message.h"
#include "bluebell/proxy/exchange_result.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace bluebell {

class byte_budget;

// Options of sending one request.
struct exchange_options {
  // The attempt id that the caller sent, or empty. A response that names
  // another attempt is skipped. Without an id, the exchange has a connection of
  // its own.
  std::string attempt;
  // An exchange without a complete response by then ends; as exchange_lost with
  // errc::kTimeout if the request was sent.
  instant deadline;
  // The request isn't sent later than this; the exchange then ends as
  // exchange_unsent with errc::kTimeout. nullopt: there is no such bound.
  std::optional<instant> send_by;
  // A connection that was idle for longer isn't reused. The endpoint may close
  // an idle connection while the request is written to it, and it is then
  // unknown whether the request ran.
  milliseconds max_idle_time{0};
  // When to call `may_abandon`, once. If it returns true, the exchange ends as
  // exchange_lost with errc::kTimeout before its deadline. nullopt: the
  // exchange is never abandoned.
  std::optional<instant> abandon_check_at;
  std::function<bool()> may_abandon;
};

class endpoint_connection_pool {
 public:
  // `memory` limits the bytes of all responses that are being read or not yet
  // destroyed. Null: there is no limit.
  endpoint_connection_pool(boost::asio::io_context& io,
                           std::shared_ptr<byte_budget> memory);
  endpoint_connection_pool(const endpoint_connection_pool&) = delete;
  endpoint_connection_pool& operator=(const endpoint_connection_pool&) = delete;
  ~endpoint_connection_pool();

  // Sends the request and waits for its response. If the coroutine is
  // cancelled, the connection is reset, so that the endpoint stops its work.
  boost::asio::awaitable<exchange_result> Send(fleet_endpoint endpoint,
                                               http_request request,
                                               exchange_options options);

  // Closes idle connections whose keep-alive time has passed.
  void CloseExpired(instant now);

  // The number of connections opened so far, including failed attempts.
  std::size_t opened_count() const { return opened_count_; }

 private:
  struct connection;
  using response_parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;
  using connection_ptr = std::unique_ptr<connection>;

  // Removes a connection that may carry the exchange from the idle ones. Null
  // if there is none.
  connection_ptr TakeIdle(const endpoint_instance& endpoint,
                          const exchange_options& options,
                          instant now);
  // Reads one response into `parser` and reserves its bytes. Fails if it
  // exceeds the limit of one response or that of all.
  boost::asio::awaitable<boost::system::error_code> ReadResponse(
      connection& link,
      response_parser& parser,
      byte_reservation& memory);
  // The longest response that is accepted.
  std::size_t MaxResponseBytes() const;
  // Raises the reservation of one response. False if the memory is used up.
  bool Reserve(byte_reservation& memory, std::size_t bytes) const;
  // Adds a connection to the idle ones, to be closed after `keep_alive` or a
  // fixed maximum if that is shorter.
  void AddIdle(const endpoint_instance& endpoint,
               connection_ptr used,
               milliseconds keep_alive,
               instant now);

  boost::asio::io_context& io_;
  std::shared_ptr<byte_budget> memory_;
  std::map<endpoint_instance, std::vector<connection_ptr>> idle_;
  std::size_t opened_count_ = 0;
};

}  // namespace bluebell

#endif  // BLUEBELL_PROXY_ENDPOINT_CONNECTION_POOL_H_
