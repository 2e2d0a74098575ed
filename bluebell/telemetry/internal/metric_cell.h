// The numbers behind one combination of label values.

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
  // Upper bounds in microseconds. 13 ms is the target for 99% of requests,
  // 1 ms the target for what the router adds.
  static constexpr std::array<std::uint64_t, 18> kBoundsMicros = {
      100,     250,       500,       1'000,     2'500,      5'000,
      10'000,  13'000,    25'000,    50'000,    100'000,    250'000,
      500'000, 1'000'000, 2'500'000, 5'000'000, 10'000'000, 30'000'000};

  void Observe(duration value);
  // Observations up to and with bound `index`; the last index is unbounded.
  std::uint64_t CountUpTo(std::size_t index) const;
  std::uint64_t count() const { return CountUpTo(kBoundsMicros.size()); }
  double sum_seconds() const;

 private:
  std::array<std::atomic<std::uint64_t>, kBoundsMicros.size() + 1> buckets_{};
  std::atomic<std::uint64_t> sum_nanos_{0};
};

using metric_cell = std::variant<counter_cell, gauge_cell, histogram_cell>;

// Sets `cell` to an empty one of `kind`.
void MakeCell(metric_kind kind, metric_cell& cell);

// A counter's total, a histogram's number of observations, a gauge's value
// without its fraction.
std::uint64_t CountOf(const metric_cell& cell);

// Appends the lines of the text format. `labels` is the text between the
// braces; it may be empty.
void ExposeCell(const metric_cell& cell,
                std::string_view name,
                const std::string& labels,
                std::string& page);

}  // namespace bluebell::internal

#endif  // BLUEBELL_TELEMETRY_INTERNAL_METRIC_CELL_H_
