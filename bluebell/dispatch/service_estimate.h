// Estimates the service time of an endpoint for a request of each rank, from
// the service times that the dispatcher measured.
//
//   service_estimate estimate;
//   estimate.Observe(rank::kUrgent, milliseconds(12));
//   duration next = estimate.For(rank::kUrgent);

#ifndef BLUEBELL_DISPATCH_SERVICE_ESTIMATE_H_
#define BLUEBELL_DISPATCH_SERVICE_ESTIMATE_H_

#include <array>
#include <cstdint>

#include "bluebell/core/rank.h"
#include "bluebell/core/time.h"

namespace bluebell {

class service_estimate {
 public:
  void Observe(rank priority, duration service_time);

  // The moving mean for the rank. Without a measurement of the rank, the moving
  // mean for all ranks; without any measurement, kInitialServiceTime.
  duration For(rank priority) const;
  duration Overall() const { return overall_.value; }

  static constexpr milliseconds kInitialServiceTime{10};

  friend bool operator==(const service_estimate&,
                         const service_estimate&) = default;

 private:
  struct moving_mean {
    duration value = kInitialServiceTime;
    std::int64_t samples = 0;

    void Add(duration sample);
    friend bool operator==(const moving_mean&, const moving_mean&) = default;
  };

  std::array<moving_mean, kRanks.size()> by_rank_;
  moving_mean overall_;
};

}  // namespace bluebell

#endif  // BLUEBELL_DISPATCH_SERVICE_ESTIMATE_H_
