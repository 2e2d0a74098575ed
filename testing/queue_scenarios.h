// The loads under which queue policies are compared. Shares and deadlines are
// the defaults of the fleet's configuration.
//
//   for (const queue_scenario& scenario : QueueScenarios(2)) {
//     queue_bench_result result = RunQueueBench(scenario.setup);
//   }

#ifndef TESTING_QUEUE_SCENARIOS_H_
#define TESTING_QUEUE_SCENARIOS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "testing/queue_bench.h"

namespace bluebell {

struct queue_scenario {
  std::string name;
  queue_bench_setup setup;
};

// 70% load, urgent work in it 30%.
queue_scenario SteadyLoad(std::uint32_t slots);
// The steady load and ten times the capacity of the least urgent.
queue_scenario DeferrableFlood(std::uint32_t slots);
// Ten times the capacity of the most urgent; lower ranks offer more than their
// guaranteed shares, and two urgent callers don't flood.
queue_scenario UrgentFlood(std::uint32_t slots);
// One caller sends ten times the capacity in the normal rank, four others a
// little.
queue_scenario CallerFlood(std::uint32_t slots);

std::vector<queue_scenario> QueueScenarios(std::uint32_t slots);

}  // namespace bluebell

#endif  // TESTING_QUEUE_SCENARIOS_H_
