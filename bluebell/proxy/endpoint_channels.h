// A pool of HTTP connections to endpoints that are reused between requests.
// Each connection carries one request at a time. Responses to earlier requests
// are skipped; a connection with any other unexpected input, or without a
// complete response, is closed. Used on the traffic thread only.
//
//   exchange_end end = co_await channels.Send(endpoint, request, options);

#ifndef BLUEBELL_PROXY_ENDPOINT_CHANNELS_H_
#define BLUEBELL_PROXY_ENDPOINT_CHANNELS_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "bluebell/core/address.h"
#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"
#include "bluebell/fleet/fleet_endpoint.h"
#include "bluebell/http/http_message.h"
#include "bluebell/proxy/exchange_end.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace bluebell {

// Options of sending one request.
struct exchange_options {
  // The attempt id that the caller sent, or empty. A response that names
  // another attempt is skipped.
  std::string attempt;
  // An exchange without a complete response by then ends; as exchange_lost with
  // errc::kTimeout if the request was sent.
  instant deadline;
  // A connection that was idle for longer isn't reused. The endpoint may close
  // an idle connection while the request is written to it, and it is then
  // unknown whether the request ran.
  milliseconds longest_idle{0};
  // When to call `may_abandon`, once. If it returns true, the exchange ends as
  // exchange_lost with errc::kTimeout before its deadline. nullopt: the
  // exchange is never abandoned.
  std::optional<instant> overdue;
  std::function<bool()> may_abandon;
};

class endpoint_channels {
 public:
  explicit endpoint_channels(boost::asio::io_context& io);
  endpoint_channels(const endpoint_channels&) = delete;
  endpoint_channels& operator=(const endpoint_channels&) = delete;
  ~endpoint_channels();

  // Sends the request and waits for its response. If the coroutine is
  // cancelled, the connection is reset, so that the endpoint stops its work.
  boost::asio::awaitable<exchange_end> Send(fleet_endpoint endpoint,
                                            http_request request,
                                            exchange_options options);

  // Closes idle connections whose keep-alive time has passed.
  void DropIdle(instant now);

  // The number of connections opened so far, including failed attempts.
  std::size_t opened() const { return opened_; }

 private:
  struct channel;
  using channel_ptr = std::unique_ptr<channel>;

  // Removes a usable connection from the idle ones. Null if there is none.
  channel_ptr TakeIdle(const endpoint_instance& endpoint,
                       milliseconds longest_idle,
                       instant now);
  // Adds a connection to the idle ones, to be closed after `keep_alive` or a
  // fixed maximum if that is shorter.
  void Keep(const endpoint_instance& endpoint,
            channel_ptr used,
            milliseconds keep_alive,
            instant now);

  boost::asio::io_context& io_;
  std::map<endpoint_instance, std::vector<channel_ptr>> idle_;
  std::size_t opened_ = 0;
};

}  // namespace bluebell

#endif  // BLUEBELL_PROXY_ENDPOINT_CHANNELS_H_
