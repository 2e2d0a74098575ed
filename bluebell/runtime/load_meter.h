// Slot time spent on slices and keys since the last report, for the placement.
// Lives on one traffic thread.
//
//   meter.Add(service, slice.first, where, service_time);
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

  void Add(const service_name& service,
           key_hash slice_first,
           key_hash where,
           duration slot_time);

  // The load since the last call, with the hottest keys first.
  load_report Take(instant now);

  // Keys that a report names, and keys that are counted between reports. A key
  // that is new while the table is full takes over the count of the coldest
  // one, so that no hot key is missed; its count is then too high at most by
  // that count.
  static constexpr std::size_t kReportedKeys = 64;
  static constexpr std::size_t kCountedKeys = 512;

 private:
  using place = std::pair<service_name, key_hash>;

  void AddKey(const place& key, duration slot_time);

  instant since_;
  std::map<place, duration> slices_;
  std::map<place, duration> keys_;
};

// One report for the whole daemon out of those of its threads.
load_report MergeLoads(const std::vector<load_report>& parts);

}  // namespace bluebell

#endif  // BLUEBELL_RUNTIME_LOAD_METER_H_
