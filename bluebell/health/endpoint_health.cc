#include "bluebell/health/endpoint_health.h"

#include <algorithm>
#include <utility>

namespace bluebell {

namespace {

// How long a refusal takes precedence over the endpoint's reports.
constexpr seconds kRefusalPrecedenceTime{5};
constexpr int kMinFailedAttempts = 2;

}  // namespace

endpoint_health::endpoint_health(endpoint_instance instance,
                                 duration detection_time)
    : instance_(std::move(instance)), detection_time_(detection_time) {}

void endpoint_health::RecordSuccess(instant now) {
  last_success_ = now;
  failing_since_.reset();
  failed_attempts_ = 0;
}

void endpoint_health::RecordFailure(instant sent_at) {
  // An attempt that began before the last answer is no newer evidence.
  if (last_success_ && sent_at < *last_success_) {
    return;
  }
  failing_since_ = failing_since_.value_or(last_success_.value_or(sent_at));
  ++failed_attempts_;
}

void endpoint_health::SetReportedDraining(bool draining) {
  reported_draining_ = draining;
}

void endpoint_health::RecordDrainingRefusal(instant now) {
  refused_at_ = now;
}

void endpoint_health::SetListedDraining(bool draining) {
  listed_draining_ = draining;
}

void endpoint_health::ForgivePause(duration pause) {
  if (last_success_) {
    last_success_ = *last_success_ + pause;
  }
  if (failing_since_) {
    failing_since_ = *failing_since_ + pause;
  }
}

endpoint_condition endpoint_health::Condition(instant now) const {
  if (failed_attempts_ >= kMinFailedAttempts &&
      now - *failing_since_ >= detection_time_) {
    return endpoint_condition::kLost;
  }
  const bool recently_refused =
      refused_at_ && now - *refused_at_ < kRefusalPrecedenceTime;
  if (recently_refused || reported_draining_ || listed_draining_) {
    return endpoint_condition::kDraining;
  }
  return endpoint_condition::kServing;
}

}  // namespace bluebell
