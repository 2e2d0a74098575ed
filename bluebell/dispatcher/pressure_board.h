// The latest reports of the load of endpoints' queues, on one thread of an
// entry daemon. Estimates the wait at each endpoint from the report and the
// requests that this thread has sent since.
//
//   board.Update(update, now);
//   duration wait = board.ExpectedWait(instance, rank::kUrgent, now);

#ifndef BLUEBELL_DISPATCHER_PRESSURE_BOARD_H_
#define BLUEBELL_DISPATCHER_PRESSURE_BOARD_H_

#include <cstdint>
#include <unordered_map>

#include "bluebell/core/ids.h"
#include "bluebell/core/rank.h"
#include "bluebell/core/time.h"
#include "bluebell/wire/pressure_update.h"

namespace bluebell {

class pressure_board {
 public:
  // Records a report that arrived at `now`.
  void Update(const pressure_update& update, instant now);
  // Counts a request that this thread sends to the dispatcher of `instance`.
  void CountSent(const endpoint_instance& instance);

  // The expected wait of a request with `priority`. Zero without a recent
  // report.
  duration ExpectedWait(const endpoint_instance& instance,
                        rank priority,
                        instant now) const;

  // Removes reports that are too old to be used.
  void RemoveOutdated(instant now);

  // Older reports aren't used, because queues of requests that take
  // milliseconds change faster.
  static constexpr milliseconds kMaxReportAge{500};

 private:
  struct entry {
    queue_pressure pressure;
    instant at;
    std::uint32_t sent_since_report = 0;
  };

  std::unordered_map<endpoint_instance, entry> entries_;
};

}  // namespace bluebell

#endif  // BLUEBELL_DISPATCHER_PRESSURE_BOARD_H_
