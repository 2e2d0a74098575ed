// Limits the permits that a dispatcher issues for the cold endpoints of one
// service, so that no cold endpoint gets more requests in any second than
// cold_start_bound allows. Used by the slot_scheduler. Not thread-safe.
//
// The limit needs no messages between daemons:
// - A permit for a cold endpoint reaches the endpoint within kMaxPermitDelay of
//   its issue, or isn't used. The requests that arrive within one second were
//   therefore issued within kWindow.
// - A dispatcher issues at most half of the bound in any kWindow.
// - It issues none unless it has been first in its own dispatcher order for
//   kFirstWait, which is longer than kWindow. Three daemons that issue within
//   one kWindow would all have considered themselves first at the same moment.
// Together the bound holds while at most two daemons at a time consider
// themselves first, whatever they know of each other.
//
//   cold_start_limit limit;
//   limit.SetBound(bound);
//   limit.SetFirst(true, now);
//   if (limit.Allowed(endpoint, now) > 0) { limit.OnPermit(endpoint, now); }

#ifndef BLUEBELL_PERMITS_COLD_START_LIMIT_H_
#define BLUEBELL_PERMITS_COLD_START_LIMIT_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"
#include "bluebell/fleet/fleet_endpoint.h"
#include "bluebell/permits/cold_start_bound.h"
#include "bluebell/permits/cold_start_hold.h"

namespace bluebell {

class cold_start_limit {
 public:
  // A permit for a cold endpoint is used within this time of its issue, or
  // returned. Covers the way of the permit and the pauses of a daemon whose
  // processor share is small.
  static constexpr milliseconds kUseWithin{200};
  // The longest time from the issue of a permit to the arrival of its request.
  // The part beyond kUseWithin covers the way of the request.
  static constexpr milliseconds kMaxPermitDelay{300};
  static constexpr milliseconds kWindow =
      milliseconds(seconds(1)) + kMaxPermitDelay;
  // How long a daemon must have been first before it issues permits for cold
  // endpoints.
  static constexpr milliseconds kFirstWait = kWindow + milliseconds(100);

  // Sets what a cold endpoint may get; nullopt if there is no limit. Without a
  // limit, no endpoint counts as limited.
  void SetBound(std::optional<cold_start_bound> bound);
  // Sets whether this daemon is first in its own dispatcher order for the
  // service. Call it at each change of the view.
  void SetFirst(bool is_first, instant now);
  // Counts the work of a request in the mean work.
  void AddWork(duration work);

  bool is_on() const { return bound_.has_value(); }
  // True if the endpoint is cold and its requests are limited.
  bool IsLimited(const fleet_endpoint& endpoint, instant now) const;
  // True if this daemon may issue permits for cold endpoints.
  bool IsIssuing(instant now) const;
  // How many permits may be issued now for the endpoint, which is limited.
  std::size_t Allowed(const fleet_endpoint& endpoint, instant now) const;
  // True if the endpoint isn't limited, or a permit may be issued for it now.
  bool MayIssue(const fleet_endpoint& endpoint, instant now) const {
    return !IsLimited(endpoint, now) || Allowed(endpoint, now) > 0;
  }
  // When a permit may be issued for the endpoint after `ahead` further ones, at
  // the earliest. At the latest when the endpoint stops being cold.
  instant NextPermit(const fleet_endpoint& endpoint,
                     std::size_t ahead,
                     instant now) const;
  // The wait that the limit imposes on a request behind `work_before`; zero if
  // the endpoint isn't limited.
  duration WaitBehind(const fleet_endpoint& endpoint,
                      duration work_before,
                      instant now) const;
  // When a refused request should be repeated: after the wait that WaitBehind()
  // returned. A daemon that isn't first doesn't know the wait at the one that
  // is; it is at most kFirstWait until that one issues permits.
  duration RetryAfter(duration wait) const;
  // The capacity of the endpoint in slots of an average endpoint: the rate that
  // it can sustain times the mean work. nullopt if it isn't limited or the mean
  // work isn't known.
  std::optional<double> CapacityLimit(const fleet_endpoint& endpoint,
                                      instant now) const;

  // Counts a permit that is issued now. Those for warm endpoints count as well,
  // since an endpoint may become cold at any moment.
  void OnPermit(const endpoint_id& endpoint, instant now);
  // Records that requests wait or were refused because of the limit.
  void OnHold(const fleet_endpoint& endpoint, instant now);
  // Returns the holds since the last call, at most one for each endpoint and
  // second.
  std::vector<cold_start_hold> TakeHolds();

 private:
  // Removes the state of endpoints that no longer matters.
  void RemoveOld(instant now);

  std::optional<cold_start_bound> bound_;
  // Since when this daemon has been first; nullopt if it isn't.
  std::optional<instant> first_since_;
  // The times of the latest permits for each endpoint, oldest first; at most
  // cold_start_bound::PermitsPerWindow().
  std::map<endpoint_id, std::deque<instant>> issued_;
  // When a hold of each endpoint was last recorded.
  std::map<endpoint_id, instant> held_at_;
  std::vector<cold_start_hold> holds_;
  // Zero until the first request.
  duration mean_work_{0};
};

}  // namespace bluebell

#endif  // BLUEBELL_PERMITS_COLD_START_LIMIT_H_
