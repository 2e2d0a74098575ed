// All series of one metric, found by their label values without a lock.

#ifndef BLUEBELL_TELEMETRY_INTERNAL_METRIC_FAMILY_H_
#define BLUEBELL_TELEMETRY_INTERNAL_METRIC_FAMILY_H_

#include <atomic>
#include <cstddef>
#include <initializer_list>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "bluebell/telemetry/internal/metric_cell.h"
#include "bluebell/telemetry/metric.h"

namespace bluebell::internal {

// Aligned to a cache line, so that counting in one series doesn't slow down
// threads that count in another.
struct alignas(64) metric_series {
  std::vector<std::string> labels;
  metric_cell cell;
};

// An open-addressing hash table of pointers. Series are added under a mutex and
// never removed, so readers need only an acquire load for each slot.
class metric_family {
 public:
  using label_list = std::initializer_list<std::string_view>;

  metric_family(const metric_description& description, std::size_t max_series);

  // Adds the series if it doesn't exist. Once `max_series` exist, returns the
  // one whose labels are all "other".
  metric_series& Find(label_list labels);
  const metric_series* FindExisting(label_list labels) const;

  // Appends the metric in the text format, nothing if it has no series.
  void Expose(std::string& page) const;

 private:
  metric_series* Lookup(label_list labels, std::size_t hash) const;
  metric_series& Insert(label_list labels, std::size_t hash);
  std::size_t HashOf(label_list labels) const;

  const metric_description& description_;
  const std::size_t max_series_;
  // At least twice as many as series, so that a probe ends soon. The size is a
  // power of two.
  std::vector<std::atomic<metric_series*>> slots_;
  std::vector<std::unique_ptr<metric_series>> series_;
  metric_series other_;
  std::atomic<bool> other_used_{false};
  mutable std::mutex mutex_;
};

}  // namespace bluebell::internal

#endif  // BLUEBELL_TELEMETRY_INTERNAL_METRIC_FAMILY_H_
