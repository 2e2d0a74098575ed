// Requests that wait for the same slots, in the order in which they get them:
// by rank, in each rank those first that can still be answered within their
// objective, else as they came.
//
//   wait_queue queue;
//   queue.Push(request);
//   auto next = queue.TakeNext(now, [](const auto&) { return true; });

#ifndef BLUEBELL_PERMITS_WAIT_QUEUE_H_
#define BLUEBELL_PERMITS_WAIT_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
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

  // The first request for which `suits` holds, removed from the queue. Within a
  // rank, requests for which it doesn't hold are passed over.
  std::optional<waiting_request> TakeNext(
      instant now,
      const std::function<bool(const waiting_request&)>& suits);
  std::vector<waiting_request> TakeAll();
  // Those that can't be answered before their deadline any more.
  std::vector<waiting_request> TakeHopeless(instant now);
  // When the first of them becomes hopeless.
  std::optional<instant> NextHopeless() const;

  // The work of all that go before a new request of `rank`.
  duration WorkBefore(std::uint32_t rank) const;
  bool empty() const { return size_ == 0; }
  std::size_t size() const { return size_; }

 private:
  struct rank_line {
    std::list<waiting_request> requests;
    duration work{0};
  };

  waiting_request Take(rank_line& line,
                       std::list<waiting_request>::iterator which);

  std::map<std::uint32_t, rank_line> lines_;
  std::size_t size_ = 0;
};

}  // namespace bluebell

#endif  // BLUEBELL_PERMITS_WAIT_QUEUE_H_
