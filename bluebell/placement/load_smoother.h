// Smooths measured loads over several periods, so that the planner does not
// react to noise.
//
//   load_smoother smoother;
//   smoother.Add(report);
//   input.loads = smoother.SliceLoads(service);

#ifndef BLUEBELL_PLACEMENT_LOAD_SMOOTHER_H_
#define BLUEBELL_PLACEMENT_LOAD_SMOOTHER_H_

#include <map>
#include <utility>
#include <vector>

#include "bluebell/core/ids.h"
#include "bluebell/core/key_hash.h"
#include "bluebell/placement/planned_step.h"
#include "bluebell/placement/slice_load.h"
#include "bluebell/placement/slice_range.h"

namespace bluebell {

class load_smoother {
 public:
  // Adds a report of all load measured in one period. Slices and keys that the
  // report omits had no load in that period. A report with a period of zero or
  // less is ignored.
  void Add(const load_report& report);

  // Splits or merges the smoothed loads like the slices in `step`. Otherwise
  // the parts of a split slice would count with the load of the whole slice
  // until new measurements outweigh it.
  void Reshape(const service_name& service, const planned_step& step);

  // Slot time per second, as an exponential moving mean with the time constant
  // kTimeConstant.
  std::vector<slice_load> SliceLoads(const service_name& service) const;
  std::vector<key_load> HotKeyLoads(const service_name& service) const;

  // After this time, a new hot key counts with 63% of its load. This is short
  // enough to isolate the key within 30 s.
  static constexpr seconds kTimeConstant{5};

 private:
  using load_key = std::pair<service_name, key_hash>;
  using load_map = std::map<load_key, double>;

  void SplitLoad(const service_name& service,
                 const slice_range& range,
                 key_hash at);
  void IsolateKeyLoad(const service_name& service, const isolate_key& step);

  load_map slices_;
  load_map hot_keys_;
};

}  // namespace bluebell

#endif  // BLUEBELL_PLACEMENT_LOAD_SMOOTHER_H_
