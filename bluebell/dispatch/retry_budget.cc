#include "bluebell/dispatch/retry_budget.h"

#include <algorithm>

namespace bluebell {

namespace {

constexpr double kPercent = 100;

}  // namespace

retry_budget::retry_budget(std::uint32_t percent, double reserve)
    : percent_(percent), reserve_(reserve) {}

void retry_budget::CountFirstAttempt(instant now) {
  Advance(now);
  ++IntervalAt(current_).first_attempts;
  ++total_.first_attempts;
}

bool retry_budget::TryRetry(instant now) {
  Advance(now);
  // The first attempts of the interval that is partly outside don't count.
  const std::uint32_t first_attempts =
      total_.first_attempts - IntervalAt(current_ + 1).first_attempts;
  const double allowed = first_attempts * (percent_ / kPercent) + reserve_;
  if (percent_ == 0 || total_.retries + 1 > allowed) {
    return false;
  }
  ++IntervalAt(current_).retries;
  ++total_.retries;
  return true;
}

void retry_budget::Configure(std::uint32_t percent, double reserve) {
  percent_ = percent;
  reserve_ = reserve;
}

void retry_budget::Advance(instant now) {
  const std::int64_t number = now.time_since_epoch() / kInterval;
  if (number <= current_) {
    return;
  }
  const auto size = static_cast<std::int64_t>(intervals_.size());
  const std::int64_t first_new = std::max(current_ + 1, number - size + 1);
  for (std::int64_t each = first_new; each <= number; ++each) {
    interval_count& outdated = IntervalAt(each);
    total_.first_attempts -= outdated.first_attempts;
    total_.retries -= outdated.retries;
    outdated = {};
  }
  current_ = number;
}

retry_budget::interval_count& retry_budget::IntervalAt(std::int64_t number) {
  const auto size = static_cast<std::int64_t>(intervals_.size());
  return intervals_[static_cast<std::size_t>(number % size)];
}

}  // namespace bluebell
