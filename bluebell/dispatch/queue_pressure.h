// How loaded the queue of an endpoint is, as its dispatcher tells the entry
// daemons, which refuse at once what would be refused here.

#ifndef BLUEBELL_DISPATCH_QUEUE_PRESSURE_H_
#define BLUEBELL_DISPATCH_QUEUE_PRESSURE_H_

#include <array>
#include <cstdint>

#include "bluebell/core/rank.h"
#include "bluebell/core/time.h"

namespace bluebell {

struct queue_pressure {
  std::array<std::uint32_t, kRanks.size()> waiting = {};
  // How long a request that arrives now is expected to wait.
  std::array<microseconds, kRanks.size()> expected_wait = {};
  std::uint32_t in_flight = 0;
  std::uint32_t slots = 0;
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
