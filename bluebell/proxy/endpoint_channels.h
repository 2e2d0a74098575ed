// Connections to endpoints, kept open between requests. Each carries one
// request at a time, and one that shows anything but whole responses to its own
// requests is closed. Lives on the traffic thread.
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

struct exchange_options {
  // The caller's attempt, which the response names.
  std::string attempt;
  // Without a response by then the exchange is lost.
  instant deadline;
  // A connection that was idle for longer isn't used. An endpoint may close
  // one at the moment of writing, which leaves open whether the request ran.
  milliseconds longest_idle{0};
  // When to ask `may_abandon` whether to give the exchange up before its
  // deadline; nothing: never.
  std::optional<instant> overdue;
  std::function<bool()> may_abandon;
};

class endpoint_channels {
 public:
  explicit endpoint_channels(boost::asio::io_context& io);
  endpoint_channels(const endpoint_channels&) = delete;
  endpoint_channels& operator=(const endpoint_channels&) = delete;
  ~endpoint_channels();

  // If the coroutine is cancelled, the connection is closed, so that the
  // endpoint stops its work.
  boost::asio::awaitable<exchange_end> Send(fleet_endpoint endpoint,
                                            http_request request,
                                            exchange_options options);

  // Closes idle connections that aren't worth keeping.
  void DropIdle(instant now);

  std::size_t opened() const { return opened_; }

 private:
  struct channel;
  using channel_ptr = std::unique_ptr<channel>;

  channel_ptr TakeIdle(const endpoint_instance& endpoint,
                       milliseconds longest_idle,
                       instant now);
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
