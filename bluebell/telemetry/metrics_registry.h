// The counters, gauges and latency histograms of the process, exposed in the
// Prometheus text format. All functions may be called from any thread.
//
//   registry.Add(metric::kRequests, {"tracker", "urgent", "answer"});
//   std::string page = registry.Expose();

#ifndef BLUEBELL_TELEMETRY_METRICS_REGISTRY_H_
#define BLUEBELL_TELEMETRY_METRICS_REGISTRY_H_

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>

#include "bluebell/core/time.h"
#include "bluebell/telemetry/metric.h"

namespace bluebell {

class metrics_registry {
 public:
  metrics_registry();
  metrics_registry(const metrics_registry&) = delete;
  metrics_registry& operator=(const metrics_registry&) = delete;
  ~metrics_registry();

  // Update a metric: add to a counter, set a gauge, observe a duration in a
  // histogram. A call that doesn't fit the metric's kind is ignored. Label
  // values are given in the order of the metric's description; missing ones
  // count as empty, and extra ones are ignored. A lock is taken only for the
  // first use of a combination of label values. A metric keeps at most
  // kMaxSeries combinations; further ones are counted together under "other".
  void Add(metric metric_id,
           std::initializer_list<std::string_view> labels,
           std::uint64_t count = 1);
  void Set(metric metric_id,
           std::initializer_list<std::string_view> labels,
           double value);
  void Observe(metric metric_id,
               std::initializer_list<std::string_view> labels,
               duration value);

  // Returns the total of a counter, the number of observations of a histogram
  // or the integer part of a gauge; zero if it was never updated.
  std::uint64_t Count(metric metric_id,
                      std::initializer_list<std::string_view> labels) const;
  // Returns all metrics in the Prometheus text format.
  std::string Expose() const;

  static constexpr std::size_t kMaxSeries = 256;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace bluebell

#endif  // BLUEBELL_TELEMETRY_METRICS_REGISTRY_H_
