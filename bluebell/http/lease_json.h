// Writes lease requests and reads lease replies, the JSON bodies of
// `POST /bluebell/leases`.
//
//   std::string body = LeaseRequestToJson(request);
//   result<lease_reply> reply = ParseLeaseReply(response.body());

#ifndef BLUEBELL_HTTP_LEASE_JSON_H_
#define BLUEBELL_HTTP_LEASE_JSON_H_

#include <string>
#include <string_view>

#include "bluebell/core/result.h"
#include "bluebell/ownership/lease_reply.h"
#include "bluebell/ownership/lease_request.h"

namespace bluebell {

std::string LeaseRequestToJson(const lease_request& request);

// Fails with errc::kMalformedMessage and step::kGrantLease.
result<lease_reply> ParseLeaseReply(std::string_view text);

}  // namespace bluebell

#endif  // BLUEBELL_HTTP_LEASE_JSON_H_
