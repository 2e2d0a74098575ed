// What follows from the end of one attempt of a request: pass the response on,
// try again, or give up, and with which status.
//
//   attempt_decision next = DecideAfter(progress, facts, now);

#ifndef BLUEBELL_PROXY_ATTEMPT_POLICY_H_
#define BLUEBELL_PROXY_ATTEMPT_POLICY_H_

#include <cstdint>
#include <variant>

#include "bluebell/core/time.h"

namespace bluebell {

enum class attempt_result : std::uint8_t {
  // A whole response that the endpoint vouches for, or a failure of its own.
  kAnswered,
  // A whole response with a status of 500 or more, after running.
  kFailed,
  // A success that the endpoint doesn't vouch for.
  kUnvouched,
  // The endpoint states that it didn't run the request.
  kNotRun,
  // The connection failed; nothing was sent.
  kUnsent,
  // Sent, without a whole response.
  kLost,
};

struct request_progress {
  bool idempotent = false;
  // How many endpoints the request may be sent to.
  std::uint32_t max_attempts = 1;
  // To how many it was sent.
  std::uint32_t sent = 0;
  // Connections that failed before anything was sent.
  std::uint32_t unsent = 0;
  // An endpoint may have run the request.
  bool may_have_run = false;
  instant deadline;

  friend bool operator==(const request_progress&,
                         const request_progress&) = default;
};

struct pass_response {
  friend bool operator==(const pass_response&, const pass_response&) = default;
};

struct try_again {
  // Takes one retry from the budget.
  bool costs_retry = false;

  friend bool operator==(const try_again&, const try_again&) = default;
};

// The router answers by itself.
struct give_up {
  unsigned status = 0;

  friend bool operator==(const give_up&, const give_up&) = default;
};

using attempt_decision = std::variant<pass_response, try_again, give_up>;

// True if an attempt that takes unusually long may be given up for another one.
// A keyed request would only go to the same owner again, behind others, and
// lose the work that was done.
bool MayAbandon(const request_progress& progress, bool keyed);

// The status with which a request ends that got no response: 503 if it has
// surely not run, 504 if its time is over, 502 otherwise.
unsigned FinalStatus(const request_progress& progress, instant now);

// `progress` includes the attempt that ended with `result`.
attempt_decision DecideAfter(const request_progress& progress,
                             attempt_result result,
                             instant now);

}  // namespace bluebell

#endif  // BLUEBELL_PROXY_ATTEMPT_POLICY_H_
