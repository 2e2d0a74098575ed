// A working copy of the load on each endpoint, on which a plan is tried out.

#ifndef BLUEBELL_PLACEMENT_INTERNAL_LOAD_BOARD_H_
#define BLUEBELL_PLACEMENT_INTERNAL_LOAD_BOARD_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "bluebell/core/ids.h"
#include "bluebell/placement/rebalance_input.h"
#include "bluebell/placement/slice.h"

namespace bluebell {

// True if the slice has no owner and no usable endpoint that it is meant for.
bool NeedsOwner(const rebalance_input& input, const slice& which);

class load_board {
 public:
  explicit load_board(const rebalance_input& input);

  // Indices of endpoints are positions in `input.endpoints`, those of slices
  // positions in `input.slices`.
  std::size_t endpoint_count() const { return busy_.size(); }
  std::optional<std::size_t> OwnerOf(std::size_t slice) const {
    return owner_[slice];
  }
  double LoadOf(std::size_t slice) const { return load_[slice]; }

  // The load on the endpoint for each of its slots, over the mean of all that
  // aren't draining.
  double Relative(std::size_t endpoint) const;
  // What `Relative` of the endpoint would change by with the slice's load.
  double RelativeLoad(std::size_t slice, std::size_t endpoint) const;
  // The load of all slots of the endpoint at the mean.
  double MeanLoad(std::size_t endpoint) const;

  // The endpoint that takes slices and has the least load for each slot; of
  // equals, that in the failure domain with the least.
  std::optional<std::size_t> LeastLoaded() const;

  void Place(std::size_t slice, std::size_t endpoint);

 private:
  bool IsBetter(std::size_t candidate, std::size_t best) const;
  double DomainLoadPerSlot(const domain_name& domain) const;

  const rebalance_input& input_;
  std::vector<double> load_;
  std::vector<std::optional<std::size_t>> owner_;
  std::vector<double> busy_;
  double mean_per_slot_ = 0;
};

}  // namespace bluebell

#endif  // BLUEBELL_PLACEMENT_INTERNAL_LOAD_BOARD_H_
