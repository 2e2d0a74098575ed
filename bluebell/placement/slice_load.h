// Slot time spent on a slice or a single key within a period, as measured by
// the traffic threads. Slot time is the time for which requests occupy slots of
// an endpoint.

#ifndef BLUEBELL_PLACEMENT_SLICE_LOAD_H_
#define BLUEBELL_PLACEMENT_SLICE_LOAD_H_

#include <vector>

#include "bluebell/core/ids.h"
#include "bluebell/core/key_hash.h"
#include "bluebell/core/time.h"

namespace bluebell {

struct slice_load {
  service_name service;
  // First hash of the slice.
  key_hash first = 0;
  duration slot_time{0};

  friend bool operator==(const slice_load&, const slice_load&) = default;
};

struct key_load {
  service_name service;
  key_hash hash = 0;
  duration slot_time{0};

  friend bool operator==(const key_load&, const key_load&) = default;
};

struct load_report {
  duration period{0};
  std::vector<slice_load> slices;
  // The keys with the most slot time. Other keys are left out.
  std::vector<key_load> hot_keys;

  friend bool operator==(const load_report&, const load_report&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_PLACEMENT_SLICE_LOAD_H_
