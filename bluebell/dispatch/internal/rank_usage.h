// The number of slots that each rank has occupied, as a decaying mean.
//
//   rank_usage usage(now);
//   usage.Add(rank::kUrgent, expected_slot_time, now);
//   double slots = usage.Of(rank::kUrgent, now);

#ifndef BLUEBELL_DISPATCH_INTERNAL_RANK_USAGE_H_
#define BLUEBELL_DISPATCH_INTERNAL_RANK_USAGE_H_

#include <array>

#include "bluebell/core/rank.h"
#include "bluebell/core/time.h"

namespace bluebell {

class rank_usage {
 public:
  explicit rank_usage(instant now) : updated_at_(now) {}

  // A request of `value` started, which is expected to occupy a slot for
  // `slot_time`.
  void Add(rank value, duration slot_time, instant now);

  // The mean number of occupied slots over about the last second.
  double Of(rank value, instant now) const;

  friend bool operator==(const rank_usage&, const rank_usage&) = default;

 private:
  // The factor by which the sums have decayed from the last update to `now`.
  double DecayFactor(instant now) const;

  // In nanoseconds of slot time.
  std::array<double, kRanks.size()> sums_ = {};
  instant updated_at_;
};

}  // namespace bluebell

#endif  // BLUEBELL_DISPATCH_INTERNAL_RANK_USAGE_H_
