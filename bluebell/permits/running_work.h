// The requests that run at one endpoint, with the times at which they are
// expected to end. From them and the work in line it forecasts when a slot is
// free for a further request.
//
//   running_work running;
//   running.Start(now, milliseconds(160));
//   duration wait = running.WaitAfter(work_in_line, 3, now);

#ifndef BLUEBELL_PERMITS_RUNNING_WORK_H_
#define BLUEBELL_PERMITS_RUNNING_WORK_H_

#include <cstdint>
#include <set>
#include <utility>

#include "bluebell/core/time.h"

namespace bluebell {

class running_work {
 public:
  // A request starts that is expected to take `length` at this endpoint.
  void Start(instant started, duration length);
  // The request that was started with these arguments has ended.
  void End(instant started, duration length);

  // The time until one of `slots` is free for a request that `work` goes before
  // it, as the time that this work takes at the endpoint in a single slot.
  duration WaitAfter(duration work, std::uint32_t slots, instant now) const;

 private:
  // By start and expected length.
  std::multiset<std::pair<instant, duration>> running_;
};

}  // namespace bluebell

#endif  // BLUEBELL_PERMITS_RUNNING_WORK_H_
