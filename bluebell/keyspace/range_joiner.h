// Decides which neighbouring ranges of one owner become one range of the key
// table, so that one call renews them. A part of key_coordinator, without I/O.
//
// No grant or release is needed: the endpoint holds all parts, and the joined
// range has the highest of their fences, with which its next renewal raises the
// others.
//
//   range_joiner joiner(timing);
//   for (const key_range& range :
//        joiner.JoinableRanges(granted, policy, now)) ...

#ifndef BLUEBELL_KEYSPACE_RANGE_JOINER_H_
#define BLUEBELL_KEYSPACE_RANGE_JOINER_H_

#include <vector>

#include "bluebell/core/time.h"
#include "bluebell/keyspace/granted_range.h"
#include "bluebell/keyspace/key_range.h"
#include "bluebell/keyspace/key_timing.h"
#include "bluebell/keyspace/rebalance_policy.h"

namespace bluebell {

class range_joiner {
 public:
  explicit range_joiner(const key_timing& timing) : timing_(timing) {}

  // The ranges, in ascending order, that each cover at least two of `granted`,
  // which is in ascending order too. Their parts have one owner, their grants
  // can be merged, and none was assigned in the last `join_delay` of `policy`.
  std::vector<key_range> JoinableRanges(
      const std::vector<granted_range>& granted,
      const rebalance_policy& policy,
      instant now) const;

 private:
  static bool CanJoin(const granted_range& a,
                      const granted_range& b,
                      milliseconds join_delay,
                      instant now);

  key_timing timing_;
};

}  // namespace bluebell

#endif  // BLUEBELL_KEYSPACE_RANGE_JOINER_H_
