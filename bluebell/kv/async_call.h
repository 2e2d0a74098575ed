// `http_client::Call` for coroutines.

#ifndef BLUEBELL_KV_ASYNC_CALL_H_
#define BLUEBELL_KV_ASYNC_CALL_H_

#include <boost/asio/awaitable.hpp>

#include "bluebell/core/error.h"
#include "bluebell/core/result.h"
#include "bluebell/core/time.h"
#include "bluebell/http/http_message.h"

namespace bluebell {

class http_client;

// `client` must live until the call has ended.
boost::asio::awaitable<result<http_response>> AsyncCall(http_client& client,
                                                        http_request request,
                                                        milliseconds timeout,
                                                        step at);

}  // namespace bluebell

#endif  // BLUEBELL_KV_ASYNC_CALL_H_
