// Whether a run of the gateway kept its promises, from what callers and
// endpoints saw.
//
//   for (const std::string& each : FindBrokenPromises(record)) ...

#ifndef TESTING_GATEWAY_PROMISE_CHECK_H_
#define TESTING_GATEWAY_PROMISE_CHECK_H_

#include <string>
#include <vector>

#include "testing/gateway/soak_record.h"

namespace bluebell {

// Non-idempotent requests that ran more than once.
std::vector<std::string> FindRepeats(const soak_record& record);
// Requests that an endpoint began before, and again after, another one was
// granted their key. Seen from outside, it works on them all the while.
std::vector<std::string> FindWorkAcrossHolds(const soak_record& record);
// Refusals, which promise that a non-idempotent request hasn't run, of requests
// that ran.
std::vector<std::string> FindFalseRefusals(const soak_record& record);
// Successes that aren't the whole response of an execution of the request, and
// failures of endpoints that were changed.
std::vector<std::string> FindForeignAnswers(const soak_record& record);
// Requests that reached an endpoint long after it had announced its leaving,
// though nothing disturbed the system.
std::vector<std::string> FindLateArrivals(const soak_record& record);
// Requests handled by a configuration that was replaced long before, and
// daemons that went back to an older one.
std::vector<std::string> FindOldConfigurations(const soak_record& record);
// Requests that were passed on and cut although only planned work went on.
std::vector<std::string> FindPlannedCuts(const soak_record& record);
// Too few requests served after everything has healed.
std::vector<std::string> FindMissingRecovery(const soak_record& record);

// All of them, with the violations found while the run went on.
std::vector<std::string> FindBrokenPromises(const soak_record& record);

}  // namespace bluebell

#endif  // TESTING_GATEWAY_PROMISE_CHECK_H_
