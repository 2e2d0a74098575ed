// Decides for one service which requests wait, which ones wait behind all
// others, and when refused callers may return. Used by its slot_scheduler where
// the policy is scheduled_admission.
//
// Answers within the objective are preferred to late ones. Therefore a caller
// that returns after a refusal keeps its first objective and doesn't
// displace those that can still meet theirs, and an overloaded queue gives up
// an objective earlier.
//
//   admission_control admission;
//   const auto verdict = admission.Decide(request, forecast, now);

#ifndef BLUEBELL_PERMITS_ADMISSION_CONTROL_H_
#define BLUEBELL_PERMITS_ADMISSION_CONTROL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "bluebell/core/decaying_load.h"
#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"
#include "bluebell/permits/admission_counts.h"
#include "bluebell/permits/admission_verdict.h"
#include "bluebell/permits/queue_overload.h"
#include "bluebell/permits/return_schedule.h"

namespace bluebell {

class admission_control {
 public:
  struct arrival {
    request_identity identity;
    // Empty for the queue that all endpoints serve.
    endpoint_id queue;
    std::uint32_t rank = 0;
    instant objective;
    // The time that the request takes at an average endpoint.
    duration work{0};
    // The time that it is expected to take in this queue.
    duration response_time{0};
  };
  // What the queue expects for the arrival, without the work that is promised
  // to callers who haven't returned yet.
  struct forecast {
    // The wait behind the requests that can be answered within their objective.
    duration wait{0};
    // The wait behind all requests of its rank.
    duration late_wait{0};
    // The slots of an average endpoint that serve the queue.
    double capacity = 0;
  };

  admission_verdict Decide(const arrival& request,
                           const forecast& expected,
                           instant now);

  const admission_counts& counts() const { return counts_; }

  // Forgets the queues for which `exists` is false.
  void ForgetQueues(
      const std::function<bool(const endpoint_id& queue)>& exists);

 private:
  // `wait` and the time for the work that is promised until it is over.
  duration WithPromises(const arrival& request,
                        duration wait,
                        const forecast& expected,
                        instant now) const;
  // Refuses a request that would wait for `wait`.
  refused_until Refuse(const arrival& request,
                       duration wait,
                       double capacity,
                       instant now);

  return_schedule schedule_;
  std::map<std::pair<endpoint_id, std::uint32_t>, queue_overload> overload_;
  // The work of new requests, by queue.
  std::map<endpoint_id, decaying_load> demand_;
  admission_counts counts_;
};

}  // namespace bluebell

#endif  // BLUEBELL_PERMITS_ADMISSION_CONTROL_H_
