// The waiting requests of one rank, one queue for each caller.
//
// Callers share by start-time fair queuing: a caller's virtual time rises with
// the slot time it uses, and the caller with the least goes next. Costs are
// estimates at first and are corrected once the slot time is measured.
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
  // After `latest_start` there is no use in starting `request`.
  void Push(const queued_request& request, instant latest_start);

  // Takes the next request and charges its caller `expected_cost`.
  std::optional<queued_request> Pop(duration expected_cost);

  // A request of `caller` cost more by `difference` than it was charged.
  void Correct(const caller_name& caller, duration difference);

  // True if the request was waiting.
  bool Remove(const request_id& id);

  // Removes and returns the requests whose latest start is past.
  std::vector<queued_request> TakeExpired(instant now);

  std::size_t size() const { return by_latest_start_.size(); }
  bool empty() const { return by_latest_start_.empty(); }
  std::size_t WaitingOf(const caller_name& caller) const;

  // How many waiting requests go before one that `caller` would add now.
  std::size_t CountAhead(const caller_name& caller) const;

  // When TakeExpired next has something to return.
  std::optional<instant> next_expiry() const;

 private:
  // Virtual time, in slot time of a caller that always waits.
  using virtual_time = duration;

  struct waiting_request {
    queued_request request;
    instant latest_start;
  };

  struct caller_state {
    // In the order of arrival.
    std::map<std::uint64_t, waiting_request> waiting;
    // The start tag of its next request.
    virtual_time tag{0};
  };
  using caller_map = std::map<caller_name, caller_state>;

  struct expiry {
    instant latest_start;
    std::uint64_t arrival = 0;
    caller_name caller;

    friend auto operator<=>(const expiry&, const expiry&) = default;
  };

  // Callers in the order of their tags; equal tags in the order of arrival of
  // their first request. Callers without requests are in `idle_`.
  struct turn {
    virtual_time tag{0};
    std::uint64_t arrival = 0;
    caller_name caller;

    friend auto operator<=>(const turn&, const turn&) = default;
  };

  static turn TurnOf(const caller_map::value_type& caller);
  void Enqueue(const caller_map::value_type& caller);
  void Dequeue(const caller_map::value_type& caller);
  queued_request TakeAt(caller_map::iterator caller, std::uint64_t arrival);
  void ForgetIdle();

  caller_map callers_;
  std::set<turn> active_;
  std::set<turn> idle_;
  std::set<expiry> by_latest_start_;
  virtual_time now_{0};
  std::uint64_t arrivals_ = 0;
};

}  // namespace bluebell

#endif  // BLUEBELL_DISPATCH_CALLER_QUEUES_H_
