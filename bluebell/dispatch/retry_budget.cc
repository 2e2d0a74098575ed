#include "bluebell/dispatch/retry_budget.h"

#include <chrono>
#include <cmath>

namespace bluebell {

namespace {

// The time constant with which first attempts and spent retries lose weight.
constexpr std::chrono::duration<double> kDecayTimeConstant{10};

}  // namespace

retry_budget::retry_budget(std::uint32_t percent, double reserve)
    : percent_(percent), reserve_(reserve), tokens_(reserve) {}

void retry_budget::CountFirstAttempt(instant now) {
  Decay(now);
  tokens_ += static_cast<double>(percent_) / 100;
}

bool retry_budget::TryRetry(instant now) {
  Decay(now);
  if (percent_ == 0 || tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

void retry_budget::Configure(std::uint32_t percent, double reserve) {
  percent_ = percent;
  reserve_ = reserve;
}

void retry_budget::Decay(instant now) {
  if (now <= updated_at_) {
    return;
  }
  const std::chrono::duration<double> elapsed = now - updated_at_;
  const double decay_factor = std::exp(-elapsed / kDecayTimeConstant);
  tokens_ = reserve_ + (tokens_ - reserve_) * decay_factor;
  updated_at_ = now;
}

}  // namespace bluebell
