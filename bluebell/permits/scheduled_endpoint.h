// An endpoint as the scheduler of its service sees it: what runs there, how
// fast it is, and the requests that wait for it alone.
//
//   scheduled_endpoint endpoint(entry, now);
//   endpoint.Refresh(now);
//   if (endpoint.IsFree(now)) ...

#ifndef BLUEBELL_PERMITS_SCHEDULED_ENDPOINT_H_
#define BLUEBELL_PERMITS_SCHEDULED_ENDPOINT_H_

#include <cstdint>
#include <optional>
#include <utility>

#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"
#include "bluebell/fleet/fleet_endpoint.h"
#include "bluebell/permits/endpoint_load.h"
#include "bluebell/permits/endpoint_standing.h"
#include "bluebell/permits/wait_queue.h"

namespace bluebell {

class scheduled_endpoint {
 public:
  scheduled_endpoint(fleet_endpoint entry, instant now);

  const fleet_endpoint& entry() const { return entry_; }
  void SetEntry(fleet_endpoint entry) { entry_ = std::move(entry); }
  // It has left the list; what runs there goes on.
  void SetDraining() { entry_.draining = true; }

  // How it answered one request.
  void OnAnswered(duration took, duration expected, instant now);
  void OnFailed(instant now);
  void OnSilent(std::uint64_t holder, instant now);
  // Until when others' requests at the endpoint count; nothing if there are
  // none.
  std::optional<instant> OnLoadReport(const endpoint_load& load, instant now);

  // Brings slowness() and success() up to date. They change by themselves, but
  // slowly.
  void Refresh(instant now);
  // Times the duration at an average endpoint.
  double slowness() const { return slowness_; }
  // Without what a process that has just started adds.
  double measured_slowness(instant now) const {
    return standing_.SlownessAt(now);
  }
  // The share of requests that it answers well.
  double success() const { return success_; }
  // The slots of an average endpoint that it is worth.
  double capacity() const { return entry_.slots / slowness_; }

  bool IsSuspended(instant now) const { return standing_.IsSuspended(now); }
  bool IsInService(instant now) const;
  // A slot is free, and it may be used.
  bool IsFree(instant now) const;
  std::uint32_t FreeSlots(instant now) const;

  void OnStarted() { ++running_; }
  void OnEnded() { running_ -= running_ > 0 ? 1 : 0; }
  std::uint32_t running() const { return running_; }

  // Requests for keys that this endpoint owns.
  wait_queue& queue() { return queue_; }
  const wait_queue& queue() const { return queue_; }

 private:
  fleet_endpoint entry_;
  endpoint_standing standing_;
  double slowness_ = 1;
  double success_ = 1;
  std::uint32_t running_ = 0;
  // Requests there that aren't ours, and until when to believe it.
  std::uint32_t foreign_ = 0;
  instant foreign_until_;
  instant warm_from_;
  wait_queue queue_;
};

}  // namespace bluebell

#endif  // BLUEBELL_PERMITS_SCHEDULED_ENDPOINT_H_
