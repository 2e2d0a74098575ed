// Counts and logs a broken invariant of the request path.
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
  // An outcome of not_run rests on a proof.
  kNotRunProven,
  // A request that isn't idempotent is written once.
  kWrittenOnce,
  // An answer goes to the caller of its own request only, and whole.
  kOwnAnswer,
  // The answer comes from the instance that was asked.
  kAskedInstance,
};

std::string_view ToString(invariant value);

// `state` describes what broke the invariant, without keys or bodies.
void ReportViolation(metrics_registry& metrics,
                     invariant broken,
                     const request_id& id,
                     std::string_view state);

}  // namespace bluebell

#endif  // BLUEBELL_RUNTIME_INVARIANT_H_
