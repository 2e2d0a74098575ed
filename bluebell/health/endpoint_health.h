// Derives the condition of one endpoint (serving, draining or lost) from what a
// daemon observes of it.
//
// The daemon's own exchanges with the endpoint take precedence over the
// endpoint's reports, and those over the platform's list. An endpoint is
// draining as soon as one of these sources says so. It is lost if it has given
// no answer for the detection time and at least two attempts have failed since
// its last answer: a time without attempts proves nothing, and a single failure
// may be due to a broken connection.
//
// Used by the endpoint registry on the control thread.
//
//   endpoint_health health(instance, detection_time);
//   health.RecordFailure(sent_at);
//   endpoint_condition condition = health.Condition(now);

#ifndef BLUEBELL_HEALTH_ENDPOINT_HEALTH_H_
#define BLUEBELL_HEALTH_ENDPOINT_HEALTH_H_

#include <optional>

#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"
#include "bluebell/membership/endpoint_status.h"

namespace bluebell {

class endpoint_health {
 public:
  // `detection_time`: how long a failing endpoint gives no answer before it is
  // lost.
  endpoint_health(endpoint_instance instance, duration detection_time);

  const endpoint_instance& instance() const { return instance_; }

  // The endpoint gave an answer at `now`.
  void RecordSuccess(instant now);

  // An attempt that began at `sent_at` got no answer. Ignored if it began
  // before the last answer.
  void RecordFailure(instant sent_at);

  // Whether the endpoint's latest report says that it is draining.
  void SetReportedDraining(bool draining);

  // The endpoint refused an order because it is draining. For a few seconds
  // this takes precedence over reports to the contrary, which may be out of
  // date.
  void RecordDrainingRefusal(instant now);

  // Whether the platform's list says that the endpoint is draining.
  void SetListedDraining(bool draining);

  // Moves the times of the last answer and of the first failure forward by
  // `pause`, a time in which this process didn't run, so that the pause doesn't
  // count towards the detection time.
  void ForgivePause(duration pause);

  // The condition of the endpoint at `now`.
  endpoint_condition Condition(instant now) const;

 private:
  endpoint_instance instance_;
  duration detection_time_;
  std::optional<instant> last_success_;
  // Since the last answer: the start of the time without one, and the number of
  // failed attempts.
  std::optional<instant> failing_since_;
  int failed_attempts_ = 0;
  std::optional<instant> refused_at_;
  bool reported_draining_ = false;
  bool listed_draining_ = false;
};

}  // namespace bluebell

#endif  // BLUEBELL_HEALTH_ENDPOINT_HEALTH_H_
