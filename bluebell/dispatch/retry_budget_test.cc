#include "bluebell/dispatch/retry_budget.h"

#include <catch2/catch.hpp>

namespace bluebell {
namespace {

TEST_CASE("retries stay within a fraction of the first attempts") {
  retry_budget budget(10);
  instant now{seconds(100)};
  int retries = 0;
  for (int i = 0; i < 10'000; ++i) {
    now += milliseconds(10);
    budget.CountFirstAttempt(now);
    retries += budget.TryRetry(now) ? 1 : 0;
  }
  // 10% of 10,000 and the reserve of 3 for each window of 10 s.
  CHECK(retries <= 1'000 + 3 * 11);
  CHECK(retries >= 900);
}

TEST_CASE(
    "a service without traffic can retry, and a budget of zero forbids it") {
  retry_budget budget(10);
  const instant now{seconds(100)};
  CHECK(budget.TryRetry(now));
  budget.Configure(0);
  CHECK_FALSE(budget.TryRetry(now));
}

}  // namespace
}  // namespace bluebell
