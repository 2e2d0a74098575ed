#include "bluebell/dispatch/slot_limit.h"

#include <algorithm>
#include <cmath>

namespace bluebell {

namespace {

// The factor by which the limit falls when service times have risen.
constexpr double kCutFactor = 0.9;

// A completed request raises the limit by this value divided by the limit. With
// two slots, a limit that was cut to one reaches two after about 30 requests.
constexpr double kRaiseSlots = 0.05;

// Service times count as risen if their recent mean is twice the long-term
// mean. With 32 samples this is far outside the variation of exponentially
// distributed service times. The limit is cut at most once in the time of that
// many requests.
constexpr double kRisenFactor = 2;
constexpr int kRecentSampleCount = 32;
constexpr double kRecentSamples = kRecentSampleCount;

// The shortest pause before the next request if the endpoint sheds a request
// while it runs no other one.
constexpr duration kMinPauseAfterShed = milliseconds(5);

// The number of samples of the long-term mean. It adapts, so that an endpoint
// that stays slower gets all its slots back.
constexpr double kLongTermSamples = 512;

}  // namespace

slot_limit::slot_limit(std::uint32_t slots, duration warm_up, instant now)
    : slots_(slots),
      warm_up_(warm_up),
      started_at_(now),
      limit_(slots),
      last_cut_at_(now),
      paused_until_(now) {}

std::uint32_t slot_limit::Current(instant now) const {
  const auto measured = static_cast<std::uint32_t>(limit_ + 1e-9);
  return std::max(1U, std::min(measured, WarmUpLimit(now)));
}

void slot_limit::OnCompleted(rank priority,
                             duration service_time,
                             bool at_limit,
                             instant now) {
  service_time_ = service_time;
  service_trend& trend = trends_[RankIndex(priority)];
  trend.Add(static_cast<double>(service_time.count()));
  if (!at_limit) {
    return;
  }
  if (trend.HasRisen()) {
    if (now >= last_cut_at_ + kRecentSampleCount * service_time_) {
      limit_ = std::max(1.0, limit_ * kCutFactor);
      last_cut_at_ = now;
    }
    return;
  }
  limit_ = std::min<double>(slots_, limit_ + kRaiseSlots / limit_);
}

void slot_limit::OnShed(std::uint32_t other_requests, instant now) {
  limit_ = std::max(1.0, std::min<double>(limit_, other_requests));
  if (other_requests == 0) {
    paused_until_ = now + std::max(kMinPauseAfterShed, service_time_);
  }
}

std::optional<instant> slot_limit::next_warm_up_step(instant now) const {
  const std::uint32_t current = WarmUpLimit(now);
  if (current >= slots_) {
    return std::nullopt;
  }
  return started_at_ + warm_up_ * current / slots_ + duration(1);
}

std::uint32_t slot_limit::WarmUpLimit(instant now) const {
  const duration elapsed = now - started_at_;
  if (elapsed >= warm_up_) {
    return slots_;
  }
  const double elapsed_share = static_cast<double>(elapsed.count()) /
                               static_cast<double>(warm_up_.count());
  return std::max(
      1U, static_cast<std::uint32_t>(std::ceil(elapsed_share * slots_)));
}

void slot_limit::service_trend::Add(double sample) {
  ++samples;
  const double count = samples;
  recent_mean += (sample - recent_mean) / std::min(count, kRecentSamples);
  long_term_mean +=
      (sample - long_term_mean) / std::min(count, kLongTermSamples);
}

bool slot_limit::service_trend::HasRisen() const {
  return samples > 2 * kRecentSamples &&
         recent_mean > kRisenFactor * long_term_mean;
}

}  // namespace bluebell
