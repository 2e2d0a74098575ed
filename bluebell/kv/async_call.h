// `http_client::Call` as an awaitable for coroutines.
//
//   result<http_response> response =
//       co_await AsyncCall(client, request, timeout, step::kReadStore);

#ifndef BLUEBELL_KV_ASYNC_CALL_H_
#define BLUEBELL_KV_ASYNC_CALL_H_

#include <functional>

#include <boost/asio/awaitable.hpp>

#include "bluebell/core/error.h"
#include "bluebell/core/result.h"
#include "bluebell/core/time.h"
#include "bluebell/http/http_message.h"

namespace bluebell {

class http_client;

// Sends `request` and completes with the response, whatever its status, or with
// the error of `http_client::Call`, which also explains `may_send`. `client`
// must outlive the call. Runs on the thread of the client's io_context.
boost::asio::awaitable<result<http_response>> AsyncCall(
    http_client& client,
    http_request request,
    milliseconds timeout,
    step call_step,
    std::function<bool()> may_send = nullptr);

}  // namespace bluebell

#endif  // BLUEBELL_KV_ASYNC_CALL_H_
