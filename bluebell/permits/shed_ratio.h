// The share of the requests sent to a service in the last second that its
// endpoints ran instead of shedding them.
//
//   shed_ratio ratio;
//   ratio.Add(permit_outcome::kShed, now);
//   double accepted = ratio.AcceptedShare(now);

#ifndef BLUEBELL_PERMITS_SHED_RATIO_H_
#define BLUEBELL_PERMITS_SHED_RATIO_H_

#include "bluebell/core/time.h"
#include "bluebell/permits/permit_message.h"

namespace bluebell {

class shed_ratio {
 public:
  // Records how a request ended.
  void Add(permit_outcome outcome, instant now);
  // 1 if nothing was shed.
  double AcceptedShare(instant now) const;

 private:
  // Numbers of requests, weighted by their age.
  double accepted_ = 0;
  double shed_ = 0;
  instant updated_at_;
};

}  // namespace bluebell

#endif  // BLUEBELL_PERMITS_SHED_RATIO_H_
