// Sends the requests of a plan at their times, however late the answers are,
// and notes what came of each.
//
//   load_report report = RunLoad(plan);

#ifndef BLUEBELL_TESTING_LOAD_RUN_H_
#define BLUEBELL_TESTING_LOAD_RUN_H_

#include "testing/load_plan.h"
#include "testing/load_report.h"

namespace bluebell {

// Runs on the calling thread and returns once each request has ended. A request
// without a response ends two seconds after its deadline.
load_report RunLoad(const load_plan& plan);

}  // namespace bluebell

#endif  // BLUEBELL_TESTING_LOAD_RUN_H_
