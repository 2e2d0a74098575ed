#include "bluebell/permits/endpoint_performance.h"

#include <algorithm>
#include <cmath>

namespace bluebell {

namespace {

// The weight of a new measurement in the moving average.
constexpr double kSlownessSampleWeight = 0.15;
constexpr double kSuccessSampleWeight = 0.2;
// The number of requests that the long-term mean covers.
constexpr std::uint32_t kLongTermRequests = 200;
// The usual slowness counts as that many requests, so that the first few don't
// make an endpoint appear much faster or slower than it is.
constexpr double kInitialRequests = 3;
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

void endpoint_performance::OnAnswered(duration response_time,
                                      duration expected,
                                      instant now) {
  const double ratio =
      expected.count() <= 0
          ? 1
          : std::min(kMaxSlownessSample,
                     static_cast<double>(response_time.count()) /
                         static_cast<double>(expected.count()));
  slowness_ = SlownessAt(now) * (1 - kSlownessSampleWeight) +
              ratio * kSlownessSampleWeight;
  slowness_updated_at_ = now;
  answered_ = std::min(answered_ + 1, kLongTermRequests);
  long_term_slowness_ +=
      (ratio - long_term_slowness_) / (answered_ + kInitialRequests);
  success_ratio_ =
      SuccessRatioAt(now) * (1 - kSuccessSampleWeight) + kSuccessSampleWeight;
  success_updated_at_ = now;
  consecutive_no_responses_ = 0;
  holder_no_responses_ = 0;
  suspension_length_ = duration(0);
  suspended_until_ = instant();
}

void endpoint_performance::OnFailed(instant now) {
  success_ratio_ = std::max(kMinSuccessRatio,
                            SuccessRatioAt(now) * (1 - kSuccessSampleWeight));
  success_updated_at_ = now;
  consecutive_no_responses_ = 0;
  holder_no_responses_ = 0;
}

void endpoint_performance::OnNoResponse(std::uint64_t holder, instant now) {
  const bool holder_changed = holder != last_no_response_holder_;
  holder_no_responses_ = holder_changed ? 1 : holder_no_responses_ + 1;
  last_no_response_holder_ = holder;
  if (consecutive_no_responses_ == 0 || holder_changed ||
      holder_no_responses_ >= kNoResponsesToSingleHolder) {
    ++consecutive_no_responses_;
  }
  if (consecutive_no_responses_ < kNoResponsesBeforeSuspension ||
      IsSuspended(now)) {
    return;
  }
  suspension_length_ = std::clamp<duration>(suspension_length_ * 2,
                                            kMinSuspension, kMaxSuspension);
  suspended_until_ = now + suspension_length_;
}

double endpoint_performance::SlownessAt(instant now) const {
  return 1 + (slowness_ - 1) *
                 DecayFactor(slowness_updated_at_, now, kSlownessHalfLife);
}

double endpoint_performance::SuccessRatioAt(instant now) const {
  return 1 - (1 - success_ratio_) *
                 DecayFactor(success_updated_at_, now, kFailureHalfLife);
}

}  // namespace bluebell
