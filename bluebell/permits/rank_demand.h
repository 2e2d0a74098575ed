// Estimates how many slots the requests of each rank keep busy, and from that
// how many free slots to reserve for more urgent ranks. Slots are reserved
// because a running request isn't interrupted for a more urgent one.
//
//   rank_demand demand;
//   demand.Add(0, milliseconds(150), now);
//   std::uint32_t reserved = demand.ReservedSlots(2, running, now);

#ifndef BLUEBELL_PERMITS_RANK_DEMAND_H_
#define BLUEBELL_PERMITS_RANK_DEMAND_H_

#include <cstdint>
#include <map>

#include "bluebell/core/decaying_load.h"
#include "bluebell/core/time.h"

namespace bluebell {

class rank_demand {
 public:
  // Records the arrival of a request of `rank` (0 is the most urgent) that
  // keeps a slot busy for `work`.
  void Add(std::uint32_t rank, duration work, instant now);

  // The number of free slots to leave to ranks that are more urgent than
  // `rank`. A request of `rank` may start only if more slots than this are
  // free. `running` is the number of running requests by rank.
  std::uint32_t ReservedSlots(
      std::uint32_t rank,
      const std::map<std::uint32_t, std::uint32_t>& running,
      instant now) const;

 private:
  std::map<std::uint32_t, decaying_load> load_by_rank_;
};

}  // namespace bluebell

#endif  // BLUEBELL_PERMITS_RANK_DEMAND_H_
