// One HTTP exchange that waits for its end, for tests and programs that check
// results. Each call uses a connection of its own.
//
//   result<http_response> reply =
//       HttpCall(where, bhttp::verb::get, "/bluebell/executions");

#ifndef BLUEBELL_TESTING_HTTP_CALL_H_
#define BLUEBELL_TESTING_HTTP_CALL_H_

#include <boost/beast/http/verb.hpp>
#include <string>

#include "bluebell/core/address.h"
#include "bluebell/core/result.h"
#include "bluebell/core/time.h"
#include "bluebell/http/http_message.h"

namespace bluebell {

inline constexpr milliseconds kHttpCallLimit{5'000};

// Sends `request` and returns the whole response.
result<http_response> HttpCall(const address& where,
                               http_request request,
                               milliseconds limit = kHttpCallLimit);

// Sends a request with a JSON body; an empty body is omitted.
result<http_response> HttpCall(const address& where,
                               boost::beast::http::verb method,
                               const std::string& target,
                               const std::string& json = "",
                               milliseconds limit = kHttpCallLimit);

}  // namespace bluebell

#endif  // BLUEBELL_TESTING_HTTP_CALL_H_
