// The mean number of slots that requests keep busy, as an exponentially
// weighted average.
//
//   decaying_load load;
//   load.Add(milliseconds(150), kWindow, now);
//   double slots = load.SlotsAt(kWindow, now);

#ifndef BLUEBELL_CORE_DECAYING_LOAD_H_
#define BLUEBELL_CORE_DECAYING_LOAD_H_

#include <algorithm>
#include <chrono>
#include <cmath>

#include "bluebell/core/time.h"

namespace bluebell {

class decaying_load {
 public:
  using window = std::chrono::duration<double>;

  decaying_load() = default;
  // A load that has been `slots` up to `now`.
  decaying_load(double slots, instant now) : slots_(slots), updated_at_(now) {}

  // Records the arrival of a request that keeps a slot busy for `work`. The
  // weight of earlier requests decays with `time_constant`.
  void Add(duration work, window time_constant, instant now) {
    slots_ = SlotsAt(time_constant, now) + window(work) / time_constant;
    updated_at_ = now;
  }

  // The mean at `now`. No decay is applied if `now` is before the latest Add().
  double SlotsAt(window time_constant, instant now) const {
    const window elapsed = now - updated_at_;
    return slots_ * std::exp(-std::max(0.0, elapsed / time_constant));
  }

 private:
  double slots_ = 0;
  instant updated_at_;
};

}  // namespace bluebell

#endif  // BLUEBELL_CORE_DECAYING_LOAD_H_
