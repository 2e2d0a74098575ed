// How many slots the requests of each rank keep busy on average. Decides how
// many free slots the lower ranks leave to the higher ones, since a running
// request isn't interrupted for a more urgent one.
//
//   rank_demand demand;
//   demand.Add(0, milliseconds(150), now);
//   std::uint32_t keep = demand.Reserve(2, running, now);

#ifndef BLUEBELL_PERMITS_RANK_DEMAND_H_
#define BLUEBELL_PERMITS_RANK_DEMAND_H_

#include <cstdint>
#include <map>

#include "bluebell/core/decaying_load.h"
#include "bluebell/core/time.h"

namespace bluebell {

class rank_demand {
 public:
  // A request of `rank` arrived whose work takes `work`.
  void Add(std::uint32_t rank, duration work, instant now);

  // The slots that must stay free when a request of `rank` starts, given how
  // many requests of each rank are running.
  std::uint32_t Reserve(std::uint32_t rank,
                        const std::map<std::uint32_t, std::uint32_t>& running,
                        instant now) const;

 private:
  std::map<std::uint32_t, decaying_load> by_rank_;
};

}  // namespace bluebell

#endif  // BLUEBELL_PERMITS_RANK_DEMAND_H_
