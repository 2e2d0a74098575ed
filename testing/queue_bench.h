// Runs one endpoint with its queue, or with one queue for each entry daemon,
// under synthetic load in virtual time. The same setup gives the same result.
//
//   queue_bench_result result = RunQueueBench(setup);

#ifndef TESTING_QUEUE_BENCH_H_
#define TESTING_QUEUE_BENCH_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "bluebell/config/policy_values.h"
#include "bluebell/core/rank.h"
#include "bluebell/core/time.h"
#include "bluebell/dispatch/queue_policy.h"

namespace bluebell {

// Requests of one caller and rank. Arrivals are a Poisson process.
struct bench_stream {
  std::string caller;
  rank priority = rank::kNormal;
  // Offered slot time over the slot time of all slots.
  double load = 0;
  duration service_time = milliseconds(10);
  duration budget = milliseconds(1'000);
};

// The spread of service times around their mean.
enum class service_spread { kExponential, kNarrow };

struct queue_bench_setup {
  std::uint32_t slots = 2;
  // How many slots the endpoint has in fact.
  std::uint32_t actual_slots = 2;
  // True: the endpoint sheds what it has no slot for. False: it queues that.
  bool sheds = false;
  queue_policy policy;
  policy_values values;
  std::vector<bench_stream> streams;
  service_spread spread = service_spread::kExponential;
  duration warm_up = seconds(5);
  duration measured = seconds(30);
  std::uint64_t seed = 1;
};

// What became of the requests that arrived within the measured time.
struct stream_result {
  std::uint64_t arrived = 0;
  std::uint64_t in_time = 0;
  std::uint64_t late = 0;
  std::uint64_t refused = 0;
  std::uint64_t expired = 0;
  std::uint64_t shed_by_endpoint = 0;
  // Slot time used within the measured time over that of all slots.
  double used_share = 0;
  double good_share = 0;
  std::vector<double> latency_ms;

  void Merge(const stream_result& other);
  double Percentile(double percent) const;
  double InTimeShare() const;
};

struct queue_bench_result {
  std::map<std::string, stream_result> by_caller;
  std::map<rank, stream_result> by_rank;
  stream_result all;
};

queue_bench_result RunQueueBench(const queue_bench_setup& setup);

}  // namespace bluebell

#endif  // TESTING_QUEUE_BENCH_H_
