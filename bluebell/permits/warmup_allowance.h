// The part of the limit of cold endpoints that the platform's settings state;
// see cold_start_bound.

#ifndef BLUEBELL_PERMITS_WARMUP_ALLOWANCE_H_
#define BLUEBELL_PERMITS_WARMUP_ALLOWANCE_H_

#include <optional>

namespace bluebell {

struct warmup_allowance {
  // The factor of the rate that a cold endpoint can sustain.
  std::optional<double> overage;
  // The requests in any second beyond that.
  std::optional<double> slack;

  friend bool operator==(const warmup_allowance&,
                         const warmup_allowance&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_PERMITS_WARMUP_ALLOWANCE_H_
