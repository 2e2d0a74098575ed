#include "bluebell/dispatch/slot_limit.h"

#include <algorithm>
#include <cmath>

namespace bluebell {

namespace {

constexpr double kCutOnRise = 0.9;

// A completed request lifts the limit by this over the limit itself. With two
// slots, a limit that was cut to one is tried again after about 30 requests.
constexpr double kRaise = 0.05;

// Service times count as risen at twice the usual: with 32 samples this is far
// outside the noise of exponential service times.
// The limit is cut once for each run of samples.
constexpr double kRisenRatio = 2;
constexpr int kRecentCount = 32;
constexpr double kRecentSamples = kRecentCount;

// Between tries while the endpoint sheds all.
constexpr duration kMinPause = milliseconds(5);

// The usual value follows, so that an endpoint that is slower for good gets all
// its slots back.
constexpr double kUsualSamples = 512;

}  // namespace

slot_limit::slot_limit(std::uint32_t slots, duration warm_up, instant now)
    : slots_(slots),
      warm_up_(warm_up),
      started_at_(now),
      limit_(slots),
      cut_at_(now),
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
    if (now >= cut_at_ + kRecentCount * service_time_) {
      limit_ = std::max(1.0, limit_ * kCutOnRise);
      cut_at_ = now;
    }
    return;
  }
  limit_ = std::min<double>(slots_, limit_ + kRaise / limit_);
}

void slot_limit::OnShed(std::uint32_t others, instant now) {
  limit_ = std::max(1.0, std::min<double>(limit_, others));
  if (others == 0) {
    paused_until_ = now + std::max(kMinPause, service_time_);
  }
}

std::optional<instant> slot_limit::next_rise(instant now) const {
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
  const double part = static_cast<double>(elapsed.count()) /
                      static_cast<double>(warm_up_.count());
  return std::max(1U, static_cast<std::uint32_t>(std::ceil(part * slots_)));
}

void slot_limit::service_trend::Add(double sample) {
  ++samples;
  const double count = samples;
  recent += (sample - recent) / std::min(count, kRecentSamples);
  usual += (sample - usual) / std::min(count, kUsualSamples);
}

bool slot_limit::service_trend::HasRisen() const {
  return samples > 2 * kRecentSamples && recent > kRisenRatio * usual;
}

}  // namespace bluebell
