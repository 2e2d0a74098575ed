// The value of a metric for one combination of label values: a counter, a gauge
// or a histogram. All member functions may be called from any thread.

#ifndef BLUEBELL_TELEMETRY_INTERNAL_METRIC_CELL_H_
#define BLUEBELL_TELEMETRY_INTERNAL_METRIC_CELL_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

#include "bluebell/core/time.h"
#include "bluebell/telemetry/metric.h"

namespace bluebell::internal {

class counter_cell {
 public:
  void Add(std::uint64_t count) {
    total_.fetch_add(count, std::memory_order_relaxed);
  }
  std::uint64_t total() const { return total_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::uint64_t> total_{0};
};

class gauge_cell {
 public:
  void Set(double value) { value_.store(value, std::memory_order_relaxed); }
  double value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<double> value_{0};
};

class histogram_cell {
 public:
  // Inclusive upper bounds of the buckets in microseconds. Two of them are
  // targets: 13 ms for 99% of requests, and 1 ms for the time that the router
  // adds.
  static constexpr std::array<std::uint64_t, 18> kBoundsMicros = {
      100,     250,       500,       1'000,     2'500,      5'000,
      10'000,  13'000,    25'000,    50'000,    100'000,    250'000,
      500'000, 1'000'000, 2'500'000, 5'000'000, 10'000'000, 30'000'000};

  // A negative value counts as zero.
  void Observe(duration value);
  // The number of observations not above bound `index`. The index after the
  // last bound counts all observations.
  std::uint64_t CountUpTo(std::size_t index) const;
  std::uint64_t count() const { return CountUpTo(kBoundsMicros.size()); }
  double sum_seconds() const;

 private:
  std::array<std::atomic<std::uint64_t>, kBoundsMicros.size() + 1> buckets_{};
  std::atomic<std::uint64_t> sum_nanos_{0};
};

using metric_cell = std::variant<counter_cell, gauge_cell, histogram_cell>;

// Sets `cell` to a new one of `kind` with the value zero.
void MakeCell(metric_kind kind, metric_cell& cell);

// Returns the total of a counter, the number of observations of a histogram, or
// the integer part of a gauge.
std::uint64_t CountOf(const metric_cell& cell);

// Appends the lines of the cell in the Prometheus text format. `labels` is the
// text between the braces and may be empty.
void ExposeCell(const metric_cell& cell,
                std::string_view name,
                const std::string& labels,
                std::string& page);

}  // namespace bluebell::internal

#endif  // BLUEBELL_TELEMETRY_INTERNAL_METRIC_CELL_H_
