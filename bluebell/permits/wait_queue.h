// Requests that wait for the same slots, in the order in which they get them:
// by rank, in each rank those first that can still be answered within their
// objective, else as they came.
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
#include <unordered_map>
#include <utility>
#include <vector>

#include "bluebell/core/time.h"
#include "bluebell/permits/permit_message.h"
#include "bluebell/permits/waiting_request.h"

namespace bluebell {

class wait_queue {
 public:
  void Push(waiting_request request);

  bool Contains(const permit_id& id) const;
  // False if it isn't waiting here.
  bool Remove(const permit_id& id);

  // The first request of a rank that `may_start` and for which `suits` holds,
  // removed from the queue. Others are passed over. `now` never goes back.
  std::optional<waiting_request> TakeNext(
      instant now,
      const std::function<bool(std::uint32_t rank)>& may_start,
      const std::function<bool(const waiting_request&)>& suits);
  std::vector<waiting_request> TakeAll();
  // Those that can't be answered before their deadline any more.
  std::vector<waiting_request> TakeHopeless(instant now);
  // When the first of them becomes hopeless.
  std::optional<instant> NextHopeless() const;

  // The work of all that go before a new request of `rank`.
  duration WorkBefore(std::uint32_t rank) const;
  bool empty() const { return places_.empty(); }
  std::size_t size() const { return places_.size(); }

 private:
  // Counts the requests in the order in which they came.
  using sequence = std::uint64_t;
  using request_line = std::map<sequence, waiting_request>;
  struct rank_line {
    request_line on_time;
    request_line late;
    // When those on time become late.
    std::set<std::pair<instant, sequence>> lateness;
    duration work{0};
  };
  struct place {
    std::uint32_t rank = 0;
    sequence number = 0;
  };

  // Sorts out what has become late.
  static void MoveLate(rank_line& line, instant now);
  waiting_request Take(const place& where);

  std::map<std::uint32_t, rank_line> lines_;
  // Thousands may wait while endpoints are slow, and each is asked for again,
  // so nothing here looks through all of them.
  std::unordered_map<permit_id, place, permit_id_hash> places_;
  std::map<std::pair<instant, sequence>, permit_id> hopeless_;
  sequence last_ = 0;
};

}  // namespace bluebell

#endif  // BLUEBELL_PERMITS_WAIT_QUEUE_H_
