// Limits retries to a fraction of the first attempts, so that retries don't
// aggravate an overload. The limit holds in every time window: retries that
// were not made in calm times can't be made up for later.
//
//   retry_budget budget(10);
//   budget.CountFirstAttempt(now);
//   if (budget.TryRetry(now)) { ... }

#ifndef BLUEBELL_DISPATCH_RETRY_BUDGET_H_
#define BLUEBELL_DISPATCH_RETRY_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "bluebell/core/time.h"

namespace bluebell {

class retry_budget {
 public:
  // The time window in which retries are compared with first attempts.
  static constexpr milliseconds kWindow{10'000};
  // The number of retries that a service without traffic may make in a window.
  static constexpr double kDefaultReserveRetries = 3;

  // In each window, `percent` of its first attempts may be retried, and
  // `reserve` more, so that a service with little traffic can retry. With a
  // `percent` of zero there are no retries.
  explicit retry_budget(std::uint32_t percent,
                        double reserve = kDefaultReserveRetries);

  void CountFirstAttempt(instant now);

  // Takes one retry from the budget. Returns false if the budget is used up.
  bool TryRetry(instant now);

  void Configure(std::uint32_t percent,
                 double reserve = kDefaultReserveRetries);

 private:
  // The attempts of one interval of time.
  struct interval_count {
    std::uint32_t first_attempts = 0;
    std::uint32_t retries = 0;
  };
  static constexpr std::size_t kIntervals = 40;
  static constexpr duration kInterval = kWindow / kIntervals;

  // Removes the intervals that have left the window.
  void Advance(instant now);
  interval_count& IntervalAt(std::int64_t number);

  std::uint32_t percent_;
  double reserve_;
  // A ring of the intervals of the window, and one more: the oldest is partly
  // outside the window. Its retries still count.
  std::array<interval_count, kIntervals + 1> intervals_{};
  // The number of the present interval, counted from the clock's epoch.
  std::int64_t current_ = 0;
  interval_count total_;
};

}  // namespace bluebell

#endif  // BLUEBELL_DISPATCH_RETRY_BUDGET_H_
