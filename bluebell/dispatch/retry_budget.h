// Limits retries to a fraction of the first attempts, so that retries don't
// aggravate an overload.
//
//   retry_budget budget(10);
//   budget.CountFirstAttempt(now);
//   if (budget.TryRetry(now)) { ... }

#ifndef BLUEBELL_DISPATCH_RETRY_BUDGET_H_
#define BLUEBELL_DISPATCH_RETRY_BUDGET_H_

#include <cstdint>

#include "bluebell/core/time.h"

namespace bluebell {

class retry_budget {
 public:
  // The number of retries that a service without traffic may make at once.
  static constexpr double kDefaultReserveRetries = 3;

  // The budget is `percent` of the first attempts of about the last ten
  // seconds, plus `reserve` retries, so that a service with little traffic can
  // retry. With a `percent` of zero there are no retries.
  explicit retry_budget(std::uint32_t percent,
                        double reserve = kDefaultReserveRetries);

  void CountFirstAttempt(instant now);

  // Takes one retry from the budget. Returns false if the budget is used up.
  bool TryRetry(instant now);

  void Configure(std::uint32_t percent,
                 double reserve = kDefaultReserveRetries);

 private:
  void Decay(instant now);

  std::uint32_t percent_;
  double reserve_;
  double tokens_ = 0;
  instant updated_at_;
};

}  // namespace bluebell

#endif  // BLUEBELL_DISPATCH_RETRY_BUDGET_H_
