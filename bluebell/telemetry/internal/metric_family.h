// All series of one metric. Existing series are found by their label values
// without a lock.
//
//   metric_series& series = family.FindOrAdd({"tracker", "urgent"});

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

// Aligned to a cache line to avoid false sharing between threads that update
// different series.
struct alignas(64) metric_series {
  std::vector<std::string> labels;
  metric_cell cell;
};

// An open-addressing hash table of pointers. Series are added under a mutex and
// never removed, so readers need only an acquire load for each slot. All
// functions may be called from any thread.
class metric_family {
 public:
  using label_list = std::initializer_list<std::string_view>;

  metric_family(const metric_description& description, std::size_t max_series);

  // Returns the series with these label values and adds it if it doesn't exist.
  // Once `max_series` exist, returns the overflow series instead, whose labels
  // are all "other".
  metric_series& FindOrAdd(label_list labels);
  // Null if the series doesn't exist.
  const metric_series* FindExisting(label_list labels) const;

  // Appends the metric in the Prometheus text format; nothing if it has no
  // series.
  void Expose(std::string& page) const;

 private:
  metric_series* Lookup(label_list labels, std::size_t hash) const;
  metric_series& Insert(label_list labels, std::size_t hash);
  std::size_t HashOf(label_list labels) const;

  const metric_description& description_;
  const std::size_t max_series_;
  // A power of two of at least twice `max_series_`, which keeps probe sequences
  // short.
  std::vector<std::atomic<metric_series*>> slots_;
  std::vector<std::unique_ptr<metric_series>> series_;
  metric_series overflow_series_;
  std::atomic<bool> overflow_used_{false};
  mutable std::mutex mutex_;
};

}  // namespace bluebell::internal

#endif  // BLUEBELL_TELEMETRY_INTERNAL_METRIC_FAMILY_H_
