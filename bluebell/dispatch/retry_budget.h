// Bounds retries to a fraction of first attempts, so that they can't feed an
// overload.
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
  // Retries that a service without traffic may do at once.
  static constexpr double kDefaultReserve = 3;

  // `percent` of the first attempts of the last ten seconds may be retried,
  // and `reserve` more so that a quiet service can retry at all.
  explicit retry_budget(std::uint32_t percent,
                        double reserve = kDefaultReserve);

  void CountFirstAttempt(instant now);

  // Takes one retry from the budget. False if it is used up.
  bool TryRetry(instant now);

  void Configure(std::uint32_t percent, double reserve = kDefaultReserve);

 private:
  void Decay(instant now);

  std::uint32_t percent_;
  double reserve_;
  double tokens_ = 0;
  instant updated_at_;
};

}  // namespace bluebell

#endif  // BLUEBELL_DISPATCH_RETRY_BUDGET_H_
