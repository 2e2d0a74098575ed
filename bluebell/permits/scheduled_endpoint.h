// The state that a slot_scheduler keeps for one endpoint of its service: its
// registry entry, the number of running requests, its performance, and the
// queue of requests for the keys that it owns.
//
//   scheduled_endpoint endpoint(entry, now);
//   endpoint.Refresh(now);
//   if (endpoint.HasFreeSlot(now)) ...

#ifndef BLUEBELL_PERMITS_SCHEDULED_ENDPOINT_H_
#define BLUEBELL_PERMITS_SCHEDULED_ENDPOINT_H_

#include <cstdint>
#include <optional>
#include <utility>

#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"
#include "bluebell/fleet/fleet_endpoint.h"
#include "bluebell/permits/endpoint_load.h"
#include "bluebell/permits/endpoint_performance.h"
#include "bluebell/permits/wait_queue.h"

namespace bluebell {

class scheduled_endpoint {
 public:
  scheduled_endpoint(fleet_endpoint entry, instant now);

  const fleet_endpoint& entry() const { return entry_; }
  void SetEntry(fleet_endpoint entry) { entry_ = std::move(entry); }
  // Stops new requests to an endpoint that is no longer registered. Requests
  // that run there continue.
  void SetDraining() { entry_.draining = true; }

  // The outcome of one request; see endpoint_performance.
  void OnAnswered(duration response_time, duration expected, instant now);
  void OnFailed(instant now);
  void OnNoResponse(std::uint64_t holder, instant now);
  // Counts the requests at the endpoint that this scheduler issued no permit
  // for, if the report says that requests wait there. Returns until when they
  // count, or nullopt if there are none. Also records the slowdown of the
  // machine, which counts for as long.
  std::optional<instant> OnLoadReport(const endpoint_load& load, instant now);

  // Recomputes slowness() and success_ratio(), which change slowly with time
  // alone.
  void Refresh(instant now);
  // The ratio of the endpoint's response time to that of an average endpoint,
  // including the extra time of a process that is warming up.
  double slowness() const { return slowness_; }
  // The same ratio without the extra time of a process that is warming up.
  double measured_slowness(instant now) const {
    return performance_.SlownessAt(now);
  }
  // The slowness by which keys are assigned. Follows the long-term mean of the
  // measured one in steps, so that keys don't move with each measurement.
  double assigned_slowness() const { return assigned_slowness_; }
  // The share of requests that the endpoint answers without a failure.
  double success_ratio() const { return success_ratio_; }
  // As slowness(), including a slowdown that the endpoint has reported within
  // the last few hundred milliseconds. For decisions that hold as long; key
  // moves take longer.
  double current_slowness(instant now) const;
  // The number of slots of an average endpoint that would do the same work at
  // the moment.
  double current_capacity(instant now) const;
  // Limits the capacity of a cold endpoint, in slots of an average endpoint;
  // nullopt if it isn't limited.
  void SetCapacityLimit(std::optional<double> limit) {
    capacity_limit_ = limit;
  }
  // `capacity`, or the limit if that is lower.
  double LimitedCapacity(double capacity) const;

  bool IsSuspended(instant now) const { return performance_.IsSuspended(now); }
  bool IsInService(instant now) const;
  // True if the endpoint is in service and can start a request now. An endpoint
  // on probation runs one request at a time.
  bool HasFreeSlot(instant now) const;
  // The slots without a request of this scheduler; zero if HasFreeSlot() is
  // false.
  std::uint32_t FreeSlots(instant now) const;

  void OnRequestStarted() { ++running_; }
  void OnRequestEnded() { running_ -= running_ > 0 ? 1 : 0; }
  std::uint32_t running() const { return running_; }

  // Requests for keys that this endpoint owns.
  wait_queue& queue() { return queue_; }
  const wait_queue& queue() const { return queue_; }

 private:
  fleet_endpoint entry_;
  endpoint_performance performance_;
  double slowness_ = 1;
  double assigned_slowness_ = 1;
  double success_ratio_ = 1;
  std::uint32_t running_ = 0;
  // Requests at the endpoint that this scheduler issued no permit for, and
  // until when they count.
  std::uint32_t external_requests_ = 0;
  instant external_until_;
  // The reported time of work, as a ratio to the usual, and until when it
  // counts.
  double slowdown_ = 1;
  instant slowdown_until_;
  std::optional<double> capacity_limit_;
  instant warm_up_end_;
  wait_queue queue_;
};

}  // namespace bluebell

#endif  // BLUEBELL_PERMITS_SCHEDULED_ENDPOINT_H_
