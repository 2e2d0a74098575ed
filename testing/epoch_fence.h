// The lowest epoch that an endpoint still accepts, for each part of the hash
// space. It never falls.
//
//   epoch_fence fence;
//   fence.Raise(range, epoch(8));
//   bool stale = epoch(7) < fence.LowestAllowed(range);

#ifndef BLUEBELL_TESTING_EPOCH_FENCE_H_
#define BLUEBELL_TESTING_EPOCH_FENCE_H_

#include <map>

#include "bluebell/core/ids.h"
#include "bluebell/core/key_hash.h"
#include "bluebell/placement/slice_range.h"

namespace bluebell {

class epoch_fence {
 public:
  // From now on no epoch below `lowest` is allowed anywhere in `range`.
  void Raise(const slice_range& range, epoch lowest);

  // The lowest epoch that is allowed in all of `range`.
  epoch LowestAllowed(const slice_range& range) const;

  friend bool operator==(const epoch_fence&, const epoch_fence&) = default;

 private:
  // Makes `at` the first hash of a step, so that a range can begin there.
  void SplitAt(key_hash at);

  // A step function: each epoch holds from its hash up to the next one.
  std::map<key_hash, epoch> steps_ = {{0, epoch(0)}};
};

}  // namespace bluebell

#endif  // BLUEBELL_TESTING_EPOCH_FENCE_H_
