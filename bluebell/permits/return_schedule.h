// The requests that were refused and may return, and the capacity that is
// promised to them: for each queue, the work in each interval of time to come.
//
//   return_schedule schedule;
//   schedule.AddRefused(identity, objective, now);
//   auto at = schedule.Book(promise);
//   duration reserved = schedule.PromisedWork(queue, now + milliseconds(300));

#ifndef BLUEBELL_PERMITS_RETURN_SCHEDULE_H_
#define BLUEBELL_PERMITS_RETURN_SCHEDULE_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"
#include "bluebell/keyspace/key_range.h"

namespace bluebell {

// What the attempts of one caller's request have in common, if the caller
// states how much time it has left.
struct request_identity {
  std::string route;
  std::optional<shard_key> key;
  instant deadline;

  friend bool operator==(const request_identity&,
                         const request_identity&) = default;
  friend auto operator<=>(const request_identity&,
                          const request_identity&) = default;
};

struct promise_request {
  request_identity identity;
  // The endpoint whose queue the caller returns to; empty for the queue that
  // all endpoints serve.
  endpoint_id queue;
  std::uint32_t rank = 0;
  duration work{0};
  // The slots that may be promised.
  double slots = 0;
  // When the caller may return at the earliest and at the latest.
  instant earliest;
  instant latest;
};

class return_schedule {
 public:
  // What is known of a request that was refused and may return.
  struct refused_request {
    instant refused_at;
    // Its objective at that time. Daemons state a new one with each attempt.
    instant objective;
    // When it was told to return, if capacity is reserved for it.
    std::optional<instant> promised_at;
    // The queue in which the capacity is reserved.
    endpoint_id queue;
    duration work{0};
  };

  // Remembers a request that is refused.
  void AddRefused(const request_identity& identity,
                  instant objective,
                  instant now);
  // Promises capacity to a request that was refused, at the first time that has
  // room for its work, and returns the time; nullopt if there is none. Less
  // urgent ranks leave a part of the capacity free for more urgent ones.
  std::optional<instant> Book(const promise_request& request);

  // The refusal of an earlier attempt of the same request; nullopt if there was
  // none. Attempts are told apart by their deadlines, which differ between
  // requests of a route that don't arrive at the same moment.
  std::optional<refused_request> Find(const request_identity& identity,
                                      instant now) const;
  // Removes what Find() returns, with its promise.
  void Remove(const request_identity& identity, instant now);
  // Removes promises whose time is over and returns their number. Forgets
  // requests whose deadline is over.
  std::uint64_t RemoveExpired(instant now);

  // The work that is promised in the queue up to the time `until`.
  duration PromisedWork(const endpoint_id& queue, instant until) const;

 private:
  using interval_number = std::int64_t;
  // What is promised in one interval.
  struct promised_capacity {
    duration work{0};
    std::uint32_t promises = 0;
  };
  using requests_by_identity = std::map<request_identity, refused_request>;

  requests_by_identity::const_iterator FindEntry(
      const request_identity& identity,
      instant now) const;
  // The first interval in which the work of the request can be done without
  // that of earlier promises; nullopt if there is none.
  std::optional<interval_number> FindInterval(
      const promise_request& request) const;
  // Frees the capacity that is reserved for the request.
  void FreeCapacity(const refused_request& request);

  std::map<endpoint_id, std::map<interval_number, promised_capacity>>
      promised_by_queue_;
  requests_by_identity refused_;
  // Spreads the times within an interval.
  std::uint64_t booked_count_ = 0;
  instant next_expiry_check_;
};

}  // namespace bluebell

#endif  // BLUEBELL_PERMITS_RETURN_SCHEDULE_H_
