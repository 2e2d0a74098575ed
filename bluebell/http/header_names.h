// The names of the headers that this system defines, and the selection of the
// headers that are forwarded.

#ifndef BLUEBELL_HTTP_HEADER_NAMES_H_
#define BLUEBELL_HTTP_HEADER_NAMES_H_

#include <string_view>
#include <vector>

#include "bluebell/core/http_header.h"
#include "bluebell/http/http_message.h"

namespace bluebell {

inline constexpr std::string_view kHeaderPrefix = "Bluebell-";
inline constexpr std::string_view kKeyHeader = "Bluebell-Key";
inline constexpr std::string_view kRankHeader = "Bluebell-Rank";
inline constexpr std::string_view kDeadlineHeader = "Bluebell-Deadline-Ms";
inline constexpr std::string_view kIdempotentHeader = "Bluebell-Idempotent";
inline constexpr std::string_view kCallerHeader = "Bluebell-Caller";
inline constexpr std::string_view kOutcomeHeader = "Bluebell-Outcome";
inline constexpr std::string_view kReasonHeader = "Bluebell-Reason";
inline constexpr std::string_view kRequestIdHeader = "Bluebell-Request-Id";
inline constexpr std::string_view kRetryAfterMsHeader =
    "Bluebell-Retry-After-Ms";
inline constexpr std::string_view kInstanceHeader = "Bluebell-Instance";
inline constexpr std::string_view kSliceHeader = "Bluebell-Slice";
inline constexpr std::string_view kEpochHeader = "Bluebell-Epoch";
inline constexpr std::string_view kDispatcherEpochHeader =
    "Bluebell-Dispatcher-Epoch";
inline constexpr std::string_view kRefusedHeader = "Bluebell-Refused";
inline constexpr std::string_view kIdempotencyKeyHeader = "Idempotency-Key";

// The headers of a message that are forwarded to the next hop: those that
// neither belong to a single connection (RFC 9110, section 7.6.1), nor frame
// the body, nor are defined by this system.
std::vector<http_header> EndToEndHeaders(const boost::beast::http::fields& all);

}  // namespace bluebell

#endif  // BLUEBELL_HTTP_HEADER_NAMES_H_
