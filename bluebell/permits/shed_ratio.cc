#include "bluebell/permits/shed_ratio.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace bluebell {

namespace {

// Endpoints shed for seconds at a time.
constexpr std::chrono::duration<double> kAveragingTime{1};
// Counts as that many requests without shedding, so that the first few
// responses don't appear as shedding of the whole service, and the share
// returns to 1 when nothing is sent.
constexpr double kInitialAccepted = 5;

double WeightAfter(duration elapsed) {
  return std::exp(
      -std::max(0.0, std::chrono::duration<double>(elapsed) / kAveragingTime));
}

}  // namespace

void shed_ratio::Add(permit_outcome outcome, instant now) {
  const double weight = WeightAfter(now - updated_at_);
  accepted_ *= weight;
  shed_ *= weight;
  updated_at_ = now;
  (outcome == permit_outcome::kShed ? shed_ : accepted_) += 1;
}

double shed_ratio::AcceptedShare(instant now) const {
  const double weight = WeightAfter(now - updated_at_);
  const double accepted = accepted_ * weight + kInitialAccepted;
  return accepted / (accepted + shed_ * weight);
}

}  // namespace bluebell
