#include "bluebell/kv/async_call.h"

#include <memory>
#include <utility>

#include <boost/asio/async_result.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "bluebell/http/http_client.h"

namespace bluebell {

namespace asio = boost::asio;

asio::awaitable<result<http_response>> AsyncCall(
    http_client& client,
    http_request request,
    milliseconds timeout,
    step call_step,
    std::function<bool()> may_send) {
  const auto start = [&client, &request, timeout, call_step,
                      &may_send](auto handler) {
    // std::function requires a copyable handler.
    auto shared_handler =
        std::make_shared<decltype(handler)>(std::move(handler));
    client.Call(
        std::move(request), timeout, call_step,
        [shared_handler](result<http_response> response) {
          (*shared_handler)(std::move(response));
        },
        std::move(may_send));
  };
  co_return co_await asio::async_initiate<const asio::use_awaitable_t<>,
                                          void(result<http_response>)>(
      start, asio::use_awaitable);
}

}  // namespace bluebell
