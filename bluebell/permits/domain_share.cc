#include "bluebell/permits/domain_share.h"

#include <algorithm>
#include <utility>

namespace bluebell {

namespace {

// Hysteresis, as multiples of the price.
constexpr double kOpenRatio = 1.25;
constexpr double kKeepRatio = 0.75;
// A gain below the accuracy of the forecast doesn't open a domain.
constexpr milliseconds kMinOpenGain{10};
// A domain stays open for this time after the last request that was worth the
// price. It bounds the changes of the choice to ten in 10 s.
constexpr milliseconds kOpenTime{2'000};
// Long enough for a change of the share to show in the other domain's queue:
// about the time of one request's work.
constexpr milliseconds kStepInterval{200};

bool IsWorth(duration gain, duration price, double ratio) {
  return static_cast<double>(gain.count()) >=
         static_cast<double>(price.count()) * ratio;
}

}  // namespace

bool domain_share::Admits(duration gain, duration price, instant now) {
  if (is_open_ && gain > duration(0) && IsWorth(gain, price, kKeepRatio)) {
    last_worthwhile_ = now;
    return true;
  }
  if (!is_open_ && gain >= kMinOpenGain && IsWorth(gain, price, kOpenRatio)) {
    KeepOpen(now);
    return true;
  }
  return false;
}

void domain_share::KeepOpen(instant now) {
  was_opened_ = was_opened_ || !is_open_;
  is_open_ = true;
  last_worthwhile_ = now;
}

bool domain_share::HasRoom(std::uint32_t in_use, std::uint32_t free) {
  const double limit = share() * static_cast<double>(in_use + free);
  // One request is always allowed, so that a small domain is of use.
  const bool has_room = in_use + 1 <= std::max(1.0, limit);
  was_limiting_ = was_limiting_ || !has_room;
  return has_room;
}

bool domain_share::Update(bool target_has_waiting, instant now) {
  bool changed = std::exchange(was_opened_, false);
  if (is_open_ && now - last_worthwhile_ >= kOpenTime) {
    is_open_ = false;
    steps_ = kInitialSteps;
    changed = true;
  }
  if (!is_open_ || now < next_step_) {
    return changed;
  }
  next_step_ = now + kStepInterval;
  const std::uint32_t former = steps_;
  if (target_has_waiting) {
    steps_ = std::max(1U, steps_ / 2);
  } else if (was_limiting_) {
    steps_ = std::min(kSteps, steps_ + 1);
  }
  was_limiting_ = false;
  return changed || steps_ != former;
}

double domain_share::share() const {
  return static_cast<double>(steps_) / kSteps;
}

}  // namespace bluebell
