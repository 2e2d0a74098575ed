// The waiting requests of one rank, one queue for each caller.
//
// Callers share slot time by start-time fair queuing: a caller's start tag
// rises with the slot time that its requests use, and the caller with the
// lowest start tag is served next. A request is charged its estimated slot time
// when it is taken, and the charge is corrected once the slot time has been
// measured.
//
//   caller_queues queues;
//   queues.Push(request, latest_start);
//   std::optional<queued_request> next = queues.Pop(expected_cost);
//   queues.Correct(next->caller, measured - expected_cost);

#ifndef BLUEBELL_DISPATCH_CALLER_QUEUES_H_
#define BLUEBELL_DISPATCH_CALLER_QUEUES_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "bluebell/core/ids.h"
#include "bluebell/core/request_id.h"
#include "bluebell/core/time.h"
#include "bluebell/dispatch/queued_request.h"

namespace bluebell {

class caller_queues {
 public:
  // Adds `request`, which expires if it hasn't been taken by `latest_start`.
  void Push(const queued_request& request, instant latest_start);

  // Takes the next request and charges its caller the slot time
  // `expected_cost`. No value if no request is waiting.
  std::optional<queued_request> Pop(duration expected_cost);

  // Corrects the charge of `caller`: a request used more slot time than it was
  // charged, by `difference`, which may be negative.
  void Correct(const caller_name& caller, duration difference);

  // Removes a request. Returns true if it was waiting.
  bool Remove(const request_id& id);

  // Removes and returns the requests whose latest start is before `now`.
  std::vector<queued_request> TakeExpired(instant now);

  std::size_t size() const { return by_latest_start_.size(); }
  bool empty() const { return by_latest_start_.empty(); }
  // The number of waiting requests of `caller`.
  std::size_t WaitingOf(const caller_name& caller) const;

  // The number of waiting requests that are served before a request that
  // `caller` would add now.
  std::size_t CountAhead(const caller_name& caller) const;

  // The earliest time at which TakeExpired() returns a request; no value if no
  // request is waiting.
  std::optional<instant> next_expiry() const;

 private:
  // Virtual time, in slot time of a caller that always has waiting requests.
  using virtual_time = duration;

  struct waiting_request {
    queued_request request;
    instant latest_start;
  };

  struct caller_state {
    // By arrival number, in the order of arrival.
    std::map<std::uint64_t, waiting_request> waiting;
    // The start tag of the caller's next request.
    virtual_time start_tag{0};
  };
  using caller_map = std::map<caller_name, caller_state>;

  struct expiry {
    instant latest_start;
    std::uint64_t arrival = 0;
    caller_name caller;

    friend auto operator<=>(const expiry&, const expiry&) = default;
  };

  // A caller's position in the order of service: by start tag, and for equal
  // tags by the arrival of the caller's first request.
  struct service_position {
    virtual_time start_tag{0};
    std::uint64_t arrival = 0;
    caller_name caller;

    friend auto operator<=>(const service_position&,
                            const service_position&) = default;
  };

  static service_position ServicePositionOf(
      const caller_map::value_type& caller);
  void Enqueue(const caller_map::value_type& caller);
  void Dequeue(const caller_map::value_type& caller);
  queued_request TakeRequest(caller_map::iterator caller,
                             std::uint64_t arrival);
  // Removes callers without requests whose start tag has been reached by the
  // virtual time.
  void RemoveIdleCallers();

  caller_map callers_;
  // Callers with waiting requests, and callers without.
  std::set<service_position> active_;
  std::set<service_position> idle_;
  std::set<expiry> by_latest_start_;
  virtual_time virtual_now_{0};
  std::uint64_t arrivals_ = 0;
};

}  // namespace bluebell

#endif  // BLUEBELL_DISPATCH_CALLER_QUEUES_H_
