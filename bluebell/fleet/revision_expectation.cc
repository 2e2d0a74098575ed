#include "bluebell/fleet/revision_expectation.h"

#include <algorithm>

namespace bluebell {

void revision_expectation::Expect(const store_version& revision,
                                  const covers_function& covers,
                                  instant now) {
  latest_ = std::max(latest_, revision);
  if (due_ && !covers(awaited_)) {
    return;
  }
  due_.reset();
  if (!covers(latest_)) {
    awaited_ = latest_;
    due_ = now + time_limit_;
  }
}

bool revision_expectation::IsOverdue(const covers_function& covers,
                                     instant now) {
  const bool is_overdue = due_ && now >= *due_ && !covers(awaited_);
  if (due_ && (is_overdue || covers(awaited_))) {
    due_.reset();
    Expect(latest_, covers, now);
  }
  return is_overdue;
}

}  // namespace bluebell
