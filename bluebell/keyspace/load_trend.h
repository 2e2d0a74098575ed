// Notices that the load of a block of neighbouring keys has changed, sooner
// than a mean over seconds shows it. Keys that become busy are often close to
// one another, so a block gets enough requests for that where a single key
// doesn't.
//
//   load_trend trend;
//   trend.Add(milliseconds(160), now);
//   double factor = trend.CorrectionAt(now);

#ifndef BLUEBELL_KEYSPACE_LOAD_TREND_H_
#define BLUEBELL_KEYSPACE_LOAD_TREND_H_

#include "bluebell/core/decaying_load.h"
#include "bluebell/core/time.h"

namespace bluebell {

class load_trend {
 public:
  load_trend() = default;
  // The trend of a load that has been `slots` up to `now`.
  load_trend(double slots, instant now)
      : mean_(slots, now), recent_(slots, now), latest_(slots, now) {}

  // The time constant of the mean that CorrectionAt() corrects.
  static constexpr decaying_load::window kMeanTime{8};

  // A request that occupies a slot for `work` arrived at `now`.
  void Add(duration work, instant now);
  // The factor by which the load is higher or lower than its mean over
  // kMeanTime; 1 unless the latest requests show a change that chance doesn't
  // explain.
  double CorrectionAt(instant now) const;

 private:
  decaying_load mean_;
  decaying_load recent_;
  decaying_load latest_;
  // The mean work of a request.
  double work_s_ = 0;
};

}  // namespace bluebell

#endif  // BLUEBELL_KEYSPACE_LOAD_TREND_H_
