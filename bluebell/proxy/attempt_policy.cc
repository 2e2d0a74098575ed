#include "bluebell/proxy/attempt_policy.h"

#include <algorithm>
#include <utility>

namespace bluebell {

namespace {

constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;
// A request ends when more than this many attempts failed before anything was
// sent.
constexpr std::uint32_t kMaxUnsentAttempts = 3;
// A request with no more time than this left is not attempted again, since no
// endpoint answers that fast.
constexpr milliseconds kMinTimeForAttempt{10};

// Returns `fallback` if the request has no time or no attempts left.
attempt_decision RetryOr(const request_progress& progress,
                         const attempt_decision& fallback,
                         bool uses_retry_budget,
                         instant now) {
  const bool out_of_time = now + kMinTimeForAttempt >= progress.deadline;
  const bool out_of_attempts =
      progress.sent_attempts >= progress.max_attempts ||
      progress.unsent_attempts > kMaxUnsentAttempts;
  if (out_of_time || out_of_attempts) {
    return fallback;
  }
  return retry_request{uses_retry_budget};
}

// True if the endpoint has owned the key without a break. When ranges are
// joined, the key takes a fence that the table had already; when it comes back
// from another endpoint, it gets one above all of the table.
bool IsSamePeriod(const keyed_execution& earlier, const keyed_execution& next) {
  return earlier.fence == next.fence ||
         (earlier.fence < next.fence && next.fence <= earlier.table_fence);
}

}  // namespace

request_progress WithAttempt(request_progress progress, attempt_result result) {
  if (result == attempt_result::kUnsent) {
    ++progress.unsent_attempts;
    return progress;
  }
  ++progress.sent_attempts;
  progress.may_have_run =
      progress.may_have_run || result != attempt_result::kNotRun;
  return progress;
}

request_progress WithKeyedAttempt(request_progress progress,
                                  attempt_result result,
                                  keyed_execution sent) {
  if (result != attempt_result::kUnsent && result != attempt_result::kNotRun) {
    progress.executions.push_back(std::move(sent));
  }
  return WithAttempt(std::move(progress), result);
}

bool MayRunAgain(const request_progress& progress,
                 const keyed_execution& next) {
  return std::none_of(progress.executions.begin(), progress.executions.end(),
                      [&](const keyed_execution& earlier) {
                        return earlier.endpoint == next.endpoint &&
                               !IsSamePeriod(earlier, next);
                      });
}

bool MayAbandon(const request_progress& progress) {
  return progress.idempotent && !progress.keyed &&
         progress.sent_attempts + 1 < progress.max_attempts;
}

unsigned FinalStatus(const request_progress& progress, instant now) {
  if (!progress.may_have_run) {
    return kUnavailable;
  }
  return now + kMinTimeForAttempt >= progress.deadline ? kGatewayTimeout
                                                       : kBadGateway;
}

attempt_decision DecideAfterAttempt(const request_progress& progress,
                                    attempt_result result,
                                    instant now) {
  const fail_request failure{FinalStatus(progress, now)};
  switch (result) {
    case attempt_result::kAnswered:
      return relay_response();
    case attempt_result::kFailed:
      // The endpoint's error response is relayed if no other attempt is
      // allowed.
      return progress.idempotent
                 ? RetryOr(progress, relay_response(), true, now)
                 : attempt_decision(relay_response());
    case attempt_result::kUnprovenRefusal:
      // The caller of a non-idempotent request would take the status as a
      // promise and repeat the request.
      return progress.idempotent
                 ? RetryOr(progress, relay_response(), true, now)
                 : attempt_decision(failure);
    case attempt_result::kNotRun:
      if (progress.keyed && !progress.idempotent) {
        // A second rejection by the same endpoint could be a copy of the first,
        // under the same attempt id, while the request runs.
        return failure;
      }
      // Safe for a non-idempotent request too: no attempt of it follows one
      // that may have run.
      return RetryOr(progress, failure, true, now);
    case attempt_result::kUnsent:
      return RetryOr(progress, failure, false, now);
    case attempt_result::kUnconfirmed:
    case attempt_result::kLost:
      return progress.idempotent ? RetryOr(progress, failure, true, now)
                                 : attempt_decision(failure);
  }
  return failure;
}

}  // namespace bluebell
