#include "bluebell/proxy/attempt_policy.h"

namespace bluebell {

namespace {

constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;
// Connections that may fail before a request is given up.
constexpr std::uint32_t kMaxUnsent = 3;
// With less time than this no endpoint can answer.
constexpr milliseconds kLeastTime{10};

attempt_decision TryAgainOr(const request_progress& progress,
                            const attempt_decision& otherwise,
                            bool costs_retry,
                            instant now) {
  const bool out_of_time = now + kLeastTime >= progress.deadline;
  const bool out_of_attempts =
      progress.sent >= progress.max_attempts || progress.unsent > kMaxUnsent;
  if (out_of_time || out_of_attempts) {
    return otherwise;
  }
  return try_again{costs_retry};
}

}  // namespace

bool MayAbandon(const request_progress& progress, bool keyed) {
  return progress.idempotent && !keyed &&
         progress.sent + 1 < progress.max_attempts;
}

unsigned FinalStatus(const request_progress& progress, instant now) {
  if (!progress.may_have_run) {
    return kUnavailable;
  }
  return now + kLeastTime >= progress.deadline ? kGatewayTimeout : kBadGateway;
}

attempt_decision DecideAfter(const request_progress& progress,
                             attempt_result result,
                             instant now) {
  const give_up end{FinalStatus(progress, now)};
  switch (result) {
    case attempt_result::kAnswered:
      return pass_response();
    case attempt_result::kFailed:
      // The endpoint's own failure is an answer, if no better one can be had.
      return progress.idempotent
                 ? TryAgainOr(progress, pass_response(), true, now)
                 : attempt_decision(pass_response());
    case attempt_result::kNotRun:
      // Whether an earlier attempt ran still matters for a non-idempotent
      // request, but none follows one that may have run.
      return TryAgainOr(progress, end, true, now);
    case attempt_result::kUnsent:
      return TryAgainOr(progress, end, false, now);
    case attempt_result::kUnvouched:
    case attempt_result::kLost:
      return progress.idempotent ? TryAgainOr(progress, end, true, now)
                                 : attempt_decision(end);
  }
  return end;
}

}  // namespace bluebell
