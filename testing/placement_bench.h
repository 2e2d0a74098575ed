// Plays plans against a population of keys whose loads are known, round after
// round, as the control state would apply them.
//
//   placement_bench bench(setup);
//   placement_result result = bench.Run(policy, 60);

#ifndef TESTING_PLACEMENT_BENCH_H_
#define TESTING_PLACEMENT_BENCH_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "bluebell/placement/load_smoother.h"
#include "bluebell/placement/placement_policy.h"
#include "bluebell/placement/rebalance_input.h"

namespace bluebell {

struct placement_bench_setup {
  std::uint32_t endpoints = 15;
  std::uint32_t slots = 2;
  std::uint32_t domains = 3;
  std::uint32_t initial_slices = 64;
  std::size_t keys = 5'000;
  // Key k has a load in proportion to 1 / k^exponent.
  double zipf_exponent = 0.9;
  // The load of a slice is measured each round, one second long, with an error
  // up to this part.
  double noise = 0;
  std::uint64_t seed = 1;
};

struct placement_result {
  // By the true loads after the last round.
  double imbalance = 0;
  // Load that changed its owner, over the mean load of an endpoint.
  double moved_load = 0;
  std::size_t moves = 0;
  // Moves in the second half of the rounds.
  std::size_t late_moves = 0;
  std::size_t most_moves_in_round = 0;
  std::size_t slices = 0;
  bool valid = true;
};

class placement_bench {
 public:
  explicit placement_bench(const placement_bench_setup& setup);

  placement_result Run(const placement_policy& policy, std::size_t rounds);

  void Drain(std::size_t endpoint) {
    input_.endpoints[endpoint].draining = true;
  }
  void Lose(std::size_t endpoint);

  // Load on the endpoint over the mean of all that aren't draining.
  double Relative(std::size_t endpoint) const;
  // The heaviest key's load over the mean load of an endpoint.
  double HeaviestKey() const;
  // What has to move so that no endpoint exceeds `bound` times the mean.
  double LeastMove(double bound) const;
  // What must leave the emptiest endpoint besides, so that the heaviest key
  // that is alone in its slice at `endpoint` fits there within `bound`. A key
  // can't be divided.
  double RoomForHeaviest(std::size_t endpoint, double bound) const;
  std::size_t SlicesOf(std::size_t endpoint) const;
  const rebalance_input& input() const { return input_; }

 private:
  void AssignOpen(const placement_policy& policy);
  void Measure();
  bool Apply(const planned_step& step, placement_result& result);
  double LoadIn(const slice_range& range) const;
  double MeanLoad() const;
  slice* Find(const slice_range& range);
  bool Divide(const slice_range& range, key_hash at);

  placement_bench_setup setup_;
  std::map<key_hash, double> keys_;
  rebalance_input input_;
  load_smoother smoother_;
  std::uint64_t noise_state_;
};

}  // namespace bluebell

#endif  // TESTING_PLACEMENT_BENCH_H_
