// What an entry daemon's thread knows of the queues at the endpoints. Estimates
// the wait at each, adding what this thread sent since the last report.
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
  void Update(const pressure_update& update, instant now);
  void CountSent(const endpoint_instance& instance);

  // Zero if nothing recent is known.
  duration ExpectedWait(const endpoint_instance& instance,
                        rank priority,
                        instant now) const;

  // Forgets what is too old to be used.
  void Trim(instant now);

  // Older reports say nothing: queues of millisecond work change faster.
  static constexpr milliseconds kUsableAge{500};

 private:
  struct entry {
    queue_pressure pressure;
    instant at;
    std::uint32_t sent_since = 0;
  };

  std::unordered_map<endpoint_instance, entry> entries_;
};

}  // namespace bluebell

#endif  // BLUEBELL_DISPATCHER_PRESSURE_BOARD_H_
