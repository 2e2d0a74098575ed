// The load of an endpoint's queue. The dispatcher reports it to the entry
// daemons, which use it to reject requests that the dispatcher would reject.

#ifndef BLUEBELL_DISPATCH_QUEUE_PRESSURE_H_
#define BLUEBELL_DISPATCH_QUEUE_PRESSURE_H_

#include <array>
#include <cstdint>

#include "bluebell/core/rank.h"
#include "bluebell/core/time.h"

namespace bluebell {

struct queue_pressure {
  // The number of waiting requests of each rank.
  std::array<std::uint32_t, kRanks.size()> waiting = {};
  // For each rank, how long a request that arrives now is expected to wait.
  std::array<microseconds, kRanks.size()> expected_wait = {};
  // The number of requests that were sent and have not ended.
  std::uint32_t in_flight = 0;
  // The number of requests that the endpoint may be sent at the same time now.
  std::uint32_t slots = 0;
  // The mean service time of a request.
  microseconds service_time{0};

  friend bool operator==(const queue_pressure&,
                         const queue_pressure&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    for (auto& count : waiting) {
      archive(count);
    }
    for (auto& wait : expected_wait) {
      auto count = wait.count();
      archive(count);
      wait = microseconds(count);
    }
    auto service = service_time.count();
    archive(in_flight, slots, service);
    service_time = microseconds(service);
  }
};

}  // namespace bluebell

#endif  // BLUEBELL_DISPATCH_QUEUE_PRESSURE_H_
