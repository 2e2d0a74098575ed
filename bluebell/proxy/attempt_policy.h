// Decides what follows the end of one attempt of a request: the response is
// relayed to the caller, the request is retried, or it ends with an error
// status of the router itself. The functions have no state and are thread-safe.
//
//   attempt_decision next = DecideAfterAttempt(progress, result, now);

#ifndef BLUEBELL_PROXY_ATTEMPT_POLICY_H_
#define BLUEBELL_PROXY_ATTEMPT_POLICY_H_

#include <cstdint>
#include <variant>
#include <vector>

#include "bluebell/core/time.h"
#include "bluebell/proxy/attempt_result.h"
#include "bluebell/proxy/keyed_execution.h"

namespace bluebell {

// The attempts of one request so far, and its limits.
struct request_progress {
  bool idempotent = false;
  // Only the owner of the request's key can run it.
  bool keyed = false;
  // The number of attempts that may be sent to an endpoint.
  std::uint32_t max_attempts = 1;
  // The number of attempts that were sent to an endpoint.
  std::uint32_t sent_attempts = 0;
  // The number of attempts that ended before anything was sent.
  std::uint32_t unsent_attempts = 0;
  // True if an endpoint may have run the request.
  bool may_have_run = false;
  // The attempts of a keyed request that may have run.
  std::vector<keyed_execution> executions;
  instant deadline;

  friend bool operator==(const request_progress&,
                         const request_progress&) = default;
};

// The response of the attempt is relayed to the caller.
struct relay_response {
  friend bool operator==(const relay_response&,
                         const relay_response&) = default;
};

// The request is attempted again.
struct retry_request {
  // True if the service's retry budget has to allow the attempt.
  bool uses_retry_budget = false;

  friend bool operator==(const retry_request&, const retry_request&) = default;
};

// The request ends with a response of the router itself.
struct fail_request {
  unsigned status = 0;

  friend bool operator==(const fail_request&, const fail_request&) = default;
};

using attempt_decision =
    std::variant<relay_response, retry_request, fail_request>;

// Returns `progress` with one more attempt that ended with `result`.
request_progress WithAttempt(request_progress progress, attempt_result result);
// The same for a keyed request whose attempt was sent as `sent`.
request_progress WithKeyedAttempt(request_progress progress,
                                  attempt_result result,
                                  keyed_execution sent);

// True if the next attempt of a keyed request may be sent as `next`. False if
// an earlier one may have run at that endpoint under another assignment of the
// key: all attempts of a request have one id, so an observer can't tell whether
// the endpoint finished the earlier run before it gave up the key.
bool MayRunAgain(const request_progress& progress, const keyed_execution& next);

// True if an attempt that takes unusually long may be abandoned in favour of
// another one. Always false for a keyed request: it could only be sent to the
// same owner again, would queue there behind other requests, and the work done
// so far would be lost.
bool MayAbandon(const request_progress& progress);

// Returns the HTTP status of a request that ends without a response that can be
// relayed: 503 if it certainly did not run, 504 if no time is left for another
// attempt, 502 otherwise.
unsigned FinalStatus(const request_progress& progress, instant now);

// Returns what follows an attempt that ended with `result` at `now`. `progress`
// must include that attempt.
attempt_decision DecideAfterAttempt(const request_progress& progress,
                                    attempt_result result,
                                    instant now);

}  // namespace bluebell

#endif  // BLUEBELL_PROXY_ATTEMPT_POLICY_H_
