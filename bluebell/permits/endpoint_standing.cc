#include "bluebell/permits/endpoint_standing.h"

#include <algorithm>
#include <cmath>

namespace bluebell {

namespace {

// The weight of a new measurement.
constexpr double kSlownessGain = 0.15;
constexpr double kSuccessGain = 0.2;
// One long request says little: the work of requests varies by this much.
constexpr double kMaxRatio = 8;
constexpr double kLeastSuccess = 0.05;
// After this time half of what was measured is forgotten.
constexpr std::chrono::duration<double> kSlownessHalfLife{10};
constexpr std::chrono::duration<double> kFailureHalfLife{2};
// A daemon that alone meets silence may itself be cut off, so it takes more
// of its requests to let an endpoint rest.
constexpr std::uint32_t kSilentToOneHolder = 3;
constexpr milliseconds kFirstRest{500};
constexpr milliseconds kLongestRest{4'000};

double Fade(instant since,
            instant now,
            std::chrono::duration<double> half_life) {
  const std::chrono::duration<double> elapsed = now - since;
  return std::exp2(-std::max(0.0, elapsed / half_life));
}

}  // namespace

void endpoint_standing::OnAnswered(duration took,
                                   duration expected,
                                   instant now) {
  const double ratio =
      expected.count() <= 0
          ? 1
          : std::min(kMaxRatio, static_cast<double>(took.count()) /
                                    static_cast<double>(expected.count()));
  slowness_ = SlownessAt(now) * (1 - kSlownessGain) + ratio * kSlownessGain;
  measured_at_ = now;
  success_ = SuccessAt(now) * (1 - kSuccessGain) + kSuccessGain;
  failed_at_ = now;
  silent_in_row_ = 0;
  silent_to_holder_ = 0;
  rest_ = duration(0);
  suspended_until_ = instant();
}

void endpoint_standing::OnFailed(instant now) {
  success_ = std::max(kLeastSuccess, SuccessAt(now) * (1 - kSuccessGain));
  failed_at_ = now;
  silent_in_row_ = 0;
  silent_to_holder_ = 0;
}

void endpoint_standing::OnSilent(std::uint64_t holder, instant now) {
  const bool other_holder = holder != last_silent_holder_;
  silent_to_holder_ = other_holder ? 1 : silent_to_holder_ + 1;
  last_silent_holder_ = holder;
  if (silent_in_row_ == 0 || other_holder ||
      silent_to_holder_ >= kSilentToOneHolder) {
    ++silent_in_row_;
  }
  if (silent_in_row_ < kSilentBeforeRest || IsSuspended(now)) {
    return;
  }
  rest_ = std::clamp<duration>(rest_ * 2, kFirstRest, kLongestRest);
  suspended_until_ = now + rest_;
}

double endpoint_standing::SlownessAt(instant now) const {
  return 1 + (slowness_ - 1) * Fade(measured_at_, now, kSlownessHalfLife);
}

double endpoint_standing::SuccessAt(instant now) const {
  return 1 - (1 - success_) * Fade(failed_at_, now, kFailureHalfLife);
}

}  // namespace bluebell
