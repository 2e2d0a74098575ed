#include "bluebell/permits/endpoint_standing.h"

#include <algorithm>
#include <cmath>

namespace bluebell {

namespace {

// The weight of a new measurement in the moving average.
constexpr double kSlownessSampleWeight = 0.15;
constexpr double kSuccessSampleWeight = 0.2;
// Bounds the effect of one long request: the work of requests varies by this
// factor.
constexpr double kMaxSlownessSample = 8;
constexpr double kMinSuccessRatio = 0.05;
// After this time the effect of earlier measurements has decayed by half.
constexpr std::chrono::duration<double> kSlownessHalfLife{10};
constexpr std::chrono::duration<double> kFailureHalfLife{2};
// A single daemon that gets no responses may itself be cut off from the
// network. Its first request without a response counts towards a suspension;
// further ones in a row count only from this number on.
constexpr std::uint32_t kNoResponsesToSingleHolder = 3;
constexpr milliseconds kMinSuspension{500};
constexpr milliseconds kMaxSuspension{4'000};

double DecayFactor(instant updated_at,
                   instant now,
                   std::chrono::duration<double> half_life) {
  const std::chrono::duration<double> elapsed = now - updated_at;
  return std::exp2(-std::max(0.0, elapsed / half_life));
}

}  // namespace

void endpoint_standing::OnAnswered(duration took,
                                   duration expected,
                                   instant now) {
  const double ratio =
      expected.count() <= 0
          ? 1
          : std::min(kMaxSlownessSample,
                     static_cast<double>(took.count()) /
                         static_cast<double>(expected.count()));
  slowness_ = SlownessAt(now) * (1 - kSlownessSampleWeight) +
              ratio * kSlownessSampleWeight;
  measured_at_ = now;
  success_ = SuccessAt(now) * (1 - kSuccessSampleWeight) + kSuccessSampleWeight;
  failed_at_ = now;
  silent_in_row_ = 0;
  silent_to_holder_ = 0;
  rest_ = duration(0);
  suspended_until_ = instant();
}

void endpoint_standing::OnFailed(instant now) {
  success_ =
      std::max(kMinSuccessRatio, SuccessAt(now) * (1 - kSuccessSampleWeight));
  failed_at_ = now;
  silent_in_row_ = 0;
  silent_to_holder_ = 0;
}

void endpoint_standing::OnSilent(std::uint64_t holder, instant now) {
  const bool holder_changed = holder != last_silent_holder_;
  silent_to_holder_ = holder_changed ? 1 : silent_to_holder_ + 1;
  last_silent_holder_ = holder;
  if (silent_in_row_ == 0 || holder_changed ||
      silent_to_holder_ >= kNoResponsesToSingleHolder) {
    ++silent_in_row_;
  }
  if (silent_in_row_ < kSilentBeforeRest || IsSuspended(now)) {
    return;
  }
  rest_ = std::clamp<duration>(rest_ * 2, kMinSuspension, kMaxSuspension);
  suspended_until_ = now + rest_;
}

double endpoint_standing::SlownessAt(instant now) const {
  return 1 +
         (slowness_ - 1) * DecayFactor(measured_at_, now, kSlownessHalfLife);
}

double endpoint_standing::SuccessAt(instant now) const {
  return 1 - (1 - success_) * DecayFactor(failed_at_, now, kFailureHalfLife);
}

}  // namespace bluebell
