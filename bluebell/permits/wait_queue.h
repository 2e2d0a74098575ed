// A priority queue of the requests that wait for the same slots. It orders them
// by rank. Within a rank, requests that can still be answered within their
// objective come before late ones. The rest is order of arrival.
//
//   wait_queue queue;
//   queue.Push(request);
//   auto next = queue.TakeNext(now, [](auto) { return true; },
//                              [](const auto&) { return true; });

#ifndef BLUEBELL_PERMITS_WAIT_QUEUE_H_
#define BLUEBELL_PERMITS_WAIT_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"
#include "bluebell/permits/permit_message.h"
#include "bluebell/permits/waiting_request.h"

namespace bluebell {

class wait_queue {
 public:
  void Push(waiting_request request);

  bool Contains(const permit_id& id) const;
  // Null if the request isn't in the queue. Valid until the next change.
  const waiting_request* Find(const permit_id& id) const;
  // Replaces the deadline of a request in the queue, which keeps its position.
  void SetDeadline(const permit_id& id, instant deadline);
  // Returns false if the request isn't in the queue.
  bool Remove(const permit_id& id);

  // Removes and returns the first request whose rank and which itself satisfies
  // the predicates; nullopt if there is none. Other requests are skipped and
  // keep their positions. `now` must not decrease from call to call. Of the
  // requests of a rank that can be answered within their objective, those of
  // routes other than `deferred_routes` go first.
  std::optional<waiting_request> TakeNext(
      instant now,
      const std::function<bool(std::uint32_t rank)>& rank_may_start,
      const std::function<bool(const waiting_request&)>& is_eligible,
      const std::vector<std::string>& deferred_routes = {});
  // Removes and returns all requests.
  std::vector<waiting_request> TakeAll();
  // Removes and returns the requests that can no longer be answered before
  // their deadline; see waiting_request::InfeasibleAt().
  std::vector<waiting_request> TakeInfeasible(instant now);
  // The next time at which TakeInfeasible() returns a request; nullopt if the
  // queue is empty.
  std::optional<instant> NextInfeasible() const;

  // The sum of the work of all requests that go before a new request of `rank`.
  duration WorkBefore(std::uint32_t rank) const;
  // The same without the late requests of `rank` itself.
  duration OnTimeWorkBefore(std::uint32_t rank) const;
  // The sum of the work of all requests that go before the request `id`, which
  // must be in the queue. Takes time in proportion to the length of its rank.
  duration WorkBefore(const permit_id& id) const;
  // The sum of the work of the requests from each domain, by rank.
  std::map<domain_name, std::map<std::uint32_t, duration>> WorkByDomain() const;
  bool empty() const { return positions_.empty(); }
  std::size_t size() const { return positions_.size(); }

 private:
  // Numbers the requests in order of arrival.
  using sequence = std::uint64_t;
  using requests_by_sequence = std::map<sequence, waiting_request>;
  // The requests of one domain that wait.
  struct domain_work {
    duration work{0};
    std::size_t requests = 0;
  };
  struct rank_queue {
    requests_by_sequence on_time;
    requests_by_sequence late;
    // The requests in `on_time`, by the time at which they become late.
    std::set<std::pair<instant, sequence>> by_late_time;
    // The sum of the work of all requests of the rank.
    duration work{0};
    // The part of `work` that belongs to the requests in `late`.
    duration late_work{0};
    // The same by the domain of the requester. Without empty entries.
    std::map<domain_name, domain_work> work_by_domain;
  };
  // Where the queue keeps a request.
  struct queue_position {
    std::uint32_t rank = 0;
    sequence number = 0;
  };

  // Moves the requests that have become late from `on_time` to `late`.
  static void MoveLate(rank_queue& queue, instant now);
  waiting_request Take(const queue_position& position);
  // Those requests of a rank, on time or late, that include `number`.
  static const requests_by_sequence& RequestsAt(const rank_queue& queue,
                                                sequence number);

  std::map<std::uint32_t, rank_queue> rank_queues_;
  // Finds a request by its id without a scan of the queue. While endpoints are
  // slow, thousands of requests wait and each permit request is repeated.
  std::unordered_map<permit_id, queue_position, permit_id_hash> positions_;
  // All requests, by waiting_request::InfeasibleAt().
  std::map<std::pair<instant, sequence>, permit_id> by_infeasible_time_;
  sequence last_sequence_ = 0;
};

}  // namespace bluebell

#endif  // BLUEBELL_PERMITS_WAIT_QUEUE_H_
