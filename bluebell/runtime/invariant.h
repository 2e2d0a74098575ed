// Counts and logs violations of the invariants of request processing.
//
//   if (already_delivered) {
//     ReportViolation(metrics, invariant::kOneOutcome, id, "second outcome");
//   }

#ifndef BLUEBELL_RUNTIME_INVARIANT_H_
#define BLUEBELL_RUNTIME_INVARIANT_H_

#include <cstdint>
#include <string_view>

#include "bluebell/core/request_id.h"

namespace bluebell {

class metrics_registry;

enum class invariant : std::uint8_t {
  // Each request ends with exactly one outcome.
  kOneOutcome,
  // The outcome not_run is given only with proof that the request did not run.
  kNotRunProven,
  // A non-idempotent request is written to an endpoint at most once.
  kWrittenOnce,
  // An answer goes only to the caller of the request to which it belongs, and
  // is
  // complete.
  kOwnAnswer,
  // An answer comes from the endpoint instance to which the request was sent.
  kAskedInstance,
};

std::string_view ToString(invariant value);

// `state` describes the violation. It must not contain keys or bodies.
void ReportViolation(metrics_registry& metrics,
                     invariant violated,
                     const request_id& id,
                     std::string_view state);

}  // namespace bluebell

#endif  // BLUEBELL_RUNTIME_INVARIANT_H_
