// Measures the slot time spent on slices and keys since the last report. The
// placement of slices uses the reports. Used on one traffic thread.
//
//   meter.Add(service, slice.first, key_hash, slot_time);
//   load_report report = meter.Take(now);

#ifndef BLUEBELL_RUNTIME_LOAD_METER_H_
#define BLUEBELL_RUNTIME_LOAD_METER_H_

#include <cstddef>
#include <map>
#include <utility>
#include <vector>

#include "bluebell/core/ids.h"
#include "bluebell/core/key_hash.h"
#include "bluebell/core/time.h"
#include "bluebell/placement/slice_load.h"

namespace bluebell {

class load_meter {
 public:
  explicit load_meter(instant now);

  // Adds the slot time of one request. `slice_first` is the first hash of the
  // slice that contains the key.
  void Add(const service_name& service,
           key_hash slice_first,
           key_hash hash,
           duration slot_time);

  // Returns the load since the last call and starts a new period. The keys are
  // in descending order of slot time.
  load_report Take(instant now);

  // The largest numbers of keys in a report and of keys that are counted
  // between reports. If a new key arrives while kMaxCountedKeys keys are
  // counted, it replaces the key with the least slot time and inherits its slot
  // time. This way no hot key is missed, and the slot time of a key is too high
  // by at most the inherited one.
  static constexpr std::size_t kMaxReportedKeys = 64;
  static constexpr std::size_t kMaxCountedKeys = 512;

 private:
  using service_and_hash = std::pair<service_name, key_hash>;

  void AddKey(const service_and_hash& key, duration slot_time);

  instant period_start_;
  std::map<service_and_hash, duration> slices_;
  std::map<service_and_hash, duration> keys_;
};

// Merges the reports of a daemon's traffic threads into one.
load_report MergeLoads(const std::vector<load_report>& parts);

}  // namespace bluebell

#endif  // BLUEBELL_RUNTIME_LOAD_METER_H_
