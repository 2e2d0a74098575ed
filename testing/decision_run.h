// One randomised run of the decisions under faults, and its verdict.
//
//   run_counts counts = RunDecisions(seed, run_options{});

#ifndef TESTING_DECISION_RUN_H_
#define TESTING_DECISION_RUN_H_

#include <cstdint>
#include <ostream>

#include "testing/decision_world.h"

namespace bluebell {

struct run_options {
  // With faults; then everything heals and must recover.
  seconds with_faults{30};
  seconds recovery{15};
  timing_settings timing;
  // Where decisions and faults are printed; null: nowhere.
  std::ostream* trace = nullptr;
};

run_counts RunDecisions(std::uint64_t seed, const run_options& options);

}  // namespace bluebell

#endif  // TESTING_DECISION_RUN_H_
