// The input of a planner for one service: its slices, their measured load and
// the endpoints that may own them.

#ifndef BLUEBELL_PLACEMENT_REBALANCE_INPUT_H_
#define BLUEBELL_PLACEMENT_REBALANCE_INPUT_H_

#include <cstdint>
#include <vector>

#include "bluebell/core/ids.h"
#include "bluebell/placement/slice.h"
#include "bluebell/placement/slice_load.h"

namespace bluebell {

struct usable_endpoint {
  endpoint_instance instance;
  domain_name domain;
  std::uint32_t slots = 1;
  // A draining endpoint gets no new slices, and its slices are moved away.
  bool draining = false;

  friend bool operator==(const usable_endpoint&,
                         const usable_endpoint&) = default;
};

struct rebalance_input {
  // Sorted by range.
  std::vector<slice> slices;
  // The loads of this service only, as slot time per second, smoothed by
  // load_smoother. A slice without an entry has no load.
  std::vector<slice_load> loads;
  std::vector<key_load> hot_keys;
  std::vector<usable_endpoint> endpoints;

  friend bool operator==(const rebalance_input&,
                         const rebalance_input&) = default;
};

struct rebalance_limits {
  // The largest number of moves of owned slices in one plan.
  std::uint32_t max_moves = 4;
  // The largest number of splits, isolated keys and merges in one plan.
  std::uint32_t max_reshapes = 8;
  // Moves are planned if the busiest endpoint exceeds this multiple of the mean
  // load. It is below the target of 1.15, because the load could otherwise stay
  // just above the target.
  double start_load_ratio = 1.13;
  // Moves are planned until the busiest endpoint is expected at or below this
  // multiple. The gap to start_load_ratio keeps noise from starting moves
  // again. A smaller gap moves fewer slices.
  double stop_load_ratio = 1.10;
  // A move must lower the load of the busier of its two endpoints by at least
  // this part of the mean load.
  double min_gain_ratio = 0.02;

  friend bool operator==(const rebalance_limits&,
                         const rebalance_limits&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_PLACEMENT_REBALANCE_INPUT_H_
