// What the executions at the endpoints and the outcomes at the callers must
// agree on. Each function returns one line for each fault it finds.
//
//   CHECK(FindDoubleRuns(plan, report, executions).empty());

#ifndef BLUEBELL_TESTING_EXECUTION_CHECK_H_
#define BLUEBELL_TESTING_EXECUTION_CHECK_H_

#include <string>
#include <vector>

#include "testing/execution_log.h"
#include "testing/load_plan.h"
#include "testing/load_report.h"

namespace bluebell {

// Non-idempotent requests that ran more than once.
std::vector<std::string> FindDoubleRuns(
    const load_plan& plan,
    const load_report& report,
    const std::vector<execution>& executions);

// Requests with an outcome that their executions contradict: `not_run` that
// ran, `answer` that didn't, or a response that belongs to no such request.
std::vector<std::string> FindFalseOutcomes(
    const load_plan& plan,
    const load_report& report,
    const std::vector<execution>& executions);

// Keys that had two owners: orders of one epoch at two instances, or an order
// that began under a lower epoch than one before it. `executions` are in the
// order of their beginnings.
std::vector<std::string> FindSharedKeys(
    const std::vector<execution>& executions);

// All three.
std::vector<std::string> FindFaults(const load_plan& plan,
                                    const load_report& report,
                                    const std::vector<execution>& executions);

}  // namespace bluebell

#endif  // BLUEBELL_TESTING_EXECUTION_CHECK_H_
