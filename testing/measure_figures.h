// The figures of one measured run, made from what callers saw and what the
// endpoints ran.
//
//   json = FiguresJson(plan, report, executions, service, endpoints);

#ifndef BLUEBELL_TESTING_MEASURE_FIGURES_H_
#define BLUEBELL_TESTING_MEASURE_FIGURES_H_

#include <boost/json/object.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "testing/execution_log.h"
#include "testing/load_plan.h"
#include "testing/load_report.h"

namespace bluebell {

// The largest slot time of an endpoint of `service` over the mean of all
// `endpoints`.
double KeyImbalance(const std::vector<execution>& executions,
                    const std::string& service,
                    std::uint32_t endpoints);

// The share of keys seen more than once that changed their owner.
double OwnershipChurn(const std::vector<execution>& executions);

// For each key, the time from a request that got no answer to the next one that
// did, in seconds, summed over all keys.
double UnavailableKeySeconds(const load_plan& plan, const load_report& report);

// key_imbalance, ownership_churn, unavailable_key_seconds,
// rank.NAME.{p50_ms,p99_ms,answered,not_run,unknown,in_time_share} and
// kept_share.NAME. A stream named "flood" is left out of the ranks. The kept
// share compares answers of the second half of the run with those of the first.
boost::json::object FiguresJson(const load_plan& plan,
                                const load_report& report,
                                const std::vector<execution>& executions,
                                const std::string& service,
                                std::uint32_t endpoints);

}  // namespace bluebell

#endif  // BLUEBELL_TESTING_MEASURE_FIGURES_H_
