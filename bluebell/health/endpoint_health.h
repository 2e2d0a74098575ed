// What a daemon makes of the evidence about one endpoint.
//
// Own exchanges go before the endpoint's report, and that before the
// platform's list. Draining counts as soon as one source says so. An endpoint
// is lost when nothing has come from it for the detection time and at least two
// attempts in that time have failed: silence without attempts proves nothing,
// and one failure may be due to a connection that went silent.
//
//   endpoint_health health(instance, detection);
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
  endpoint_health(endpoint_instance instance, duration detection);

  const endpoint_instance& instance() const { return instance_; }

  void RecordSuccess(instant now);

  // Records an attempt that began at `sent_at` and got no answer.
  void RecordFailure(instant sent_at);

  // The endpoint's report says so.
  void ReportDraining(bool draining);

  // The endpoint refused an order since it is draining. Believed for a few
  // seconds against later reports, which lag.
  void RecordDrainingRefusal(instant now);

  // The platform's list or an operator's setting says so.
  void ListDraining(bool draining);

  // Moves silences forward by a pause of this process.
  void ForgivePause(duration pause);

  endpoint_condition Condition(instant now) const;

 private:
  endpoint_instance instance_;
  duration detection_;
  std::optional<instant> last_success_;
  // Since the last success: when the first failed attempt began, and how many
  // attempts failed.
  std::optional<instant> failing_since_;
  int failures_ = 0;
  std::optional<instant> refused_at_;
  bool reported_draining_ = false;
  bool listed_draining_ = false;
};

}  // namespace bluebell

#endif  // BLUEBELL_HEALTH_ENDPOINT_HEALTH_H_
