// What a planner sees of one service: its slices, their measured load and the
// endpoints that may own them.

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
  // A draining endpoint gets no slices and loses those that it has.
  bool draining = false;

  friend bool operator==(const usable_endpoint&,
                         const usable_endpoint&) = default;
};

struct rebalance_input {
  // Sorted by range.
  std::vector<slice> slices;
  // Only of this service and smoothed (load_smoother). A slice that is missing
  // has no load.
  std::vector<slice_load> loads;
  std::vector<key_load> hot_keys;
  std::vector<usable_endpoint> endpoints;

  friend bool operator==(const rebalance_input&,
                         const rebalance_input&) = default;
};

struct rebalance_limits {
  // Moves of owned slices that one plan may hold.
  std::uint32_t max_moves = 4;
  // Splits, isolated keys and merges that one plan may hold.
  std::uint32_t max_reshapes = 8;
  // Moves begin when the busiest endpoint exceeds this multiple of the mean,
  // below the target of 1.15, or load could settle just above the target...
  double start_above = 1.13;
  // ...and are planned until it is expected at this one. The gap keeps noise
  // from starting moves again; the smaller, the less is moved.
  double stop_below = 1.10;
  // A move must lower the busier of its two endpoints by this part of the mean.
  double min_gain = 0.02;

  friend bool operator==(const rebalance_limits&,
                         const rebalance_limits&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_PLACEMENT_REBALANCE_INPUT_H_
