// The load on each endpoint as a plan would change it. A planner assigns slices
// here and reads the resulting loads.

#ifndef BLUEBELL_PLACEMENT_INTERNAL_LOAD_PROJECTION_H_
#define BLUEBELL_PLACEMENT_INTERNAL_LOAD_PROJECTION_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "bluebell/core/ids.h"
#include "bluebell/placement/rebalance_input.h"
#include "bluebell/placement/slice.h"

namespace bluebell {

// True if the slice is not owned, and is not moving to an endpoint in `input`
// that is not draining.
bool NeedsOwner(const rebalance_input& input, const slice& current);

class load_projection {
 public:
  // Keeps a reference to `input`.
  explicit load_projection(const rebalance_input& input);

  // In all functions, `endpoint` is a position in `input.endpoints` and `slice`
  // a position in `input.slices`.
  std::size_t endpoint_count() const { return endpoint_loads_.size(); }
  // The position of the endpoint that owns the slice or is the target of its
  // move. Empty if there is none in `input.endpoints`.
  std::optional<std::size_t> OwnerOf(std::size_t slice) const {
    return owner_of_slice_[slice];
  }
  double SliceLoad(std::size_t slice) const { return slice_loads_[slice]; }

  // The load per slot of the endpoint, as a multiple of the mean load per slot
  // of the endpoints that are not draining.
  double EndpointLoadRatio(std::size_t endpoint) const;
  // The amount by which the slice's load changes EndpointLoadRatio(endpoint).
  double SliceLoadRatio(std::size_t slice, std::size_t endpoint) const;
  // The load on the endpoint if each of its slots had the mean load.
  double MeanLoadOfEndpoint(std::size_t endpoint) const;

  // The endpoint with the least load per slot among those that are not
  // draining. If several have the same load, the one whose failure domain has
  // the least load per slot. Empty if there is no such endpoint.
  std::optional<std::size_t> LeastLoaded() const;

  // Moves the slice's load to the endpoint.
  void Assign(std::size_t slice, std::size_t endpoint);

 private:
  bool IsLessLoaded(std::size_t candidate, std::size_t best) const;
  double DomainLoadPerSlot(const domain_name& domain) const;

  const rebalance_input& input_;
  std::vector<double> slice_loads_;
  std::vector<std::optional<std::size_t>> owner_of_slice_;
  std::vector<double> endpoint_loads_;
  double mean_load_per_slot_ = 0;
};

}  // namespace bluebell

#endif  // BLUEBELL_PLACEMENT_INTERNAL_LOAD_PROJECTION_H_
