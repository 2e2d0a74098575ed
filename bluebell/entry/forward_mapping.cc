#include "bluebell/entry/forward_mapping.h"

#include <chrono>

namespace bluebell {

forward_request ToForward(const caller_request& request,
                          const endpoint_instance& endpoint,
                          instant now) {
  forward_request message;
  message.id = request.id;
  message.service = request.service;
  message.key = request.key;
  message.priority = static_cast<std::uint8_t>(request.priority);
  message.caller = request.caller;
  message.budget_us =
      std::chrono::duration_cast<microseconds>(request.deadline - now).count();
  message.idempotent = request.idempotent;
  message.id_from_caller = request.id_from_caller;
  message.endpoint = endpoint;
  message.method = request.method;
  message.target = request.target;
  message.headers = request.headers;
  message.body = request.body;
  return message;
}

result<caller_request> FromForward(const forward_request& message,
                                   instant now) {
  if (message.priority >= kRanks.size()) {
    return error(errc::kMalformedMessage, step::kDecodeMessage, "",
                 "unknown rank");
  }
  caller_request request;
  request.id = message.id;
  request.service = message.service;
  request.key = message.key;
  request.priority = kRanks.at(message.priority);
  request.caller = message.caller;
  request.deadline = now + microseconds(message.budget_us);
  request.idempotent = message.idempotent;
  request.id_from_caller = message.id_from_caller;
  request.method = message.method;
  request.target = message.target;
  request.headers = message.headers;
  request.body = message.body;
  return request;
}

request_query QueryFor(const caller_request& request,
                       const endpoint_instance& endpoint) {
  return {request.id, request.service, request.key, endpoint};
}

}  // namespace bluebell
