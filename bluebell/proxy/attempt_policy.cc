#include "bluebell/proxy/attempt_policy.h"

namespace bluebell {

namespace {

constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;
// A request ends when more than this many attempts failed before anything was
// sent.
constexpr std::uint32_t kMaxUnsent = 3;
// A request with no more time than this left is not attempted again, since no
// endpoint answers that fast.
constexpr milliseconds kLeastTime{10};

// Returns `fallback` if the request has no time or no attempts left.
attempt_decision TryAgainOr(const request_progress& progress,
                            const attempt_decision& fallback,
                            bool costs_retry,
                            instant now) {
  const bool out_of_time = now + kLeastTime >= progress.deadline;
  const bool out_of_attempts =
      progress.sent >= progress.max_attempts || progress.unsent > kMaxUnsent;
  if (out_of_time || out_of_attempts) {
    return fallback;
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
  const give_up failure{FinalStatus(progress, now)};
  switch (result) {
    case attempt_result::kAnswered:
      return pass_response();
    case attempt_result::kFailed:
      // The endpoint's error response is relayed if no other attempt is
      // allowed.
      return progress.idempotent
                 ? TryAgainOr(progress, pass_response(), true, now)
                 : attempt_decision(pass_response());
    case attempt_result::kNotRun:
      // Safe for a non-idempotent request too: no attempt of it follows one
      // that may have run.
      return TryAgainOr(progress, failure, true, now);
    case attempt_result::kUnsent:
      return TryAgainOr(progress, failure, false, now);
    case attempt_result::kUnvouched:
    case attempt_result::kLost:
      return progress.idempotent ? TryAgainOr(progress, failure, true, now)
                                 : attempt_decision(failure);
  }
  return failure;
}

}  // namespace bluebell
