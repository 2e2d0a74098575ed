// Smooths measured loads over several periods, so that the planner doesn't
// follow noise.
//
//   load_smoother smoother;
//   smoother.Add(report);
//   input.loads = smoother.Slices(service);

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
  // One report of all measured load. What it omits had none in its period. A
  // report without a period is ignored.
  void Add(const load_report& report);

  // Divides or joins what was measured so far, so that the parts of a slice
  // don't count with the load of the whole until new measurements prevail.
  void Reshape(const service_name& service, const planned_step& step);

  // Slot time in a second, moving mean over about kTimeConstant.
  std::vector<slice_load> Slices(const service_name& service) const;
  std::vector<key_load> HotKeys(const service_name& service) const;

  // A new hot key counts for 63% of its load after this time, so that it is
  // isolated well within 30 s.
  static constexpr seconds kTimeConstant{5};

 private:
  using load_key = std::pair<service_name, key_hash>;
  using load_map = std::map<load_key, double>;

  void Divide(const service_name& service,
              const slice_range& range,
              key_hash at);
  void Isolate(const service_name& service, const isolate_key& step);

  load_map slices_;
  load_map hot_keys_;
};

}  // namespace bluebell

#endif  // BLUEBELL_PLACEMENT_LOAD_SMOOTHER_H_
