// The outcome of a request with the details that its caller is told.
//
//   request_outcome outcome = not_run{not_run_reason::kOverloaded, "", 50ms};
//   outcome_kind kind = KindOf(outcome);

#ifndef BLUEBELL_CORE_REQUEST_OUTCOME_H_
#define BLUEBELL_CORE_REQUEST_OUTCOME_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "bluebell/core/http_header.h"
#include "bluebell/core/outcome.h"
#include "bluebell/core/time.h"

namespace bluebell {

// Why a request did not run. Each value is used only if it is proven that the
// request did not run and never will.
enum class not_run_reason : std::uint8_t {
  kInvalidRequest,
  kUnknownService,
  kDeadlineExpired,
  kOverloaded,
  kNoOwner,
  kNoEndpoint,
  kEndpointUnreachable,
  kRefusedByEndpoint,
  kWithdrawn,
  kShuttingDown,
};

// Why it isn't known whether a request ran.
enum class unknown_reason : std::uint8_t {
  kConnectionLost,
  kNoAnswerInTime,
  kTruncatedAnswer,
  kDispatcherLost,
  kRepeatOfForgottenRequest,
};

// The name of a reason, for example "no_owner".
std::string_view ToString(not_run_reason value);
std::string_view ToString(unknown_reason value);

// The complete response of the endpoint.
struct answer {
  unsigned status = 0;
  std::vector<http_header> headers;
  std::string body;

  friend bool operator==(const answer&, const answer&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(status, headers, body);
  }
};

// The request did not run and never will.
struct not_run {
  not_run_reason reason = not_run_reason::kNoOwner;
  std::string detail;
  // Time after which a retry may succeed. Zero if that isn't known.
  milliseconds retry_after{0};

  friend bool operator==(const not_run&, const not_run&) = default;
};

// The request may have run.
struct unknown {
  unknown_reason reason = unknown_reason::kConnectionLost;
  std::string detail;

  friend bool operator==(const unknown&, const unknown&) = default;
};

using request_outcome = std::variant<answer, not_run, unknown>;

outcome_kind KindOf(const request_outcome& outcome);

}  // namespace bluebell

#endif  // BLUEBELL_CORE_REQUEST_OUTCOME_H_
