// Picks owners for slices that have none, the least loaded endpoint first.
//
//   owner_picker picker(inputs);
//   const endpoint_info* owner = picker.Pick(slice);

#ifndef BLUEBELL_CONTROL_OWNER_PICKER_H_
#define BLUEBELL_CONTROL_OWNER_PICKER_H_

#include <map>
#include <vector>

#include "bluebell/control/placement_inputs.h"
#include "bluebell/core/key_hash.h"
#include "bluebell/placement/slice.h"

namespace bluebell {

class owner_picker {
 public:
  explicit owner_picker(const placement_inputs& inputs);

  // The endpoint that should own the slice, or null if none is usable. Counts
  // the slice towards that endpoint's load for the next call.
  const endpoint_info* Pick(const slice& current);

 private:
  struct candidate {
    const endpoint_info* endpoint = nullptr;
    double load = 0;
  };

  // The load of a slice: its measured slot time if there is any, with its share
  // of the hash space so that slices without measured load spread too.
  double LoadOf(const slice& current) const;

  std::map<key_hash, double> measured_;
  double total_measured_ = 0;
  std::vector<candidate> candidates_;
};

}  // namespace bluebell

#endif  // BLUEBELL_CONTROL_OWNER_PICKER_H_
