// Estimates the loads of keys from measured ones. A key has few requests in the
// time of a measurement, so that much of the difference between the measured
// loads is chance: moving keys by it would unbalance the owners. The estimate
// keeps only as much of the difference as chance doesn't explain.
//
//   std::vector<shard_load> loads = EstimateLoads(measured, sampling);

#ifndef BLUEBELL_KEYSPACE_LOAD_ESTIMATE_H_
#define BLUEBELL_KEYSPACE_LOAD_ESTIMATE_H_

#include <cstddef>
#include <vector>

#include "bluebell/core/decaying_load.h"
#include "bluebell/keyspace/key_range.h"
#include "bluebell/keyspace/shard_load.h"

namespace bluebell {

// Neighbouring keys whose loads are compared and corrected together: a busy run
// of keys covers several blocks, and each of them gets many requests.
inline constexpr std::size_t kKeysPerLoadBlock = 64;
inline constexpr std::size_t kLoadBlockCount =
    (std::size_t{kLastShardKey} + 1) / kKeysPerLoadBlock;

struct load_sampling {
  // The time constant of the measured means.
  decaying_load::window mean_time{0};
  // The mean work of a request.
  decaying_load::window mean_work{0};
  // For each block, the factor by which its load has changed lately; 1 if it
  // hasn't.
  std::vector<double> corrections;
};

// `measured` is in ascending order of the keys, and so is the result.
std::vector<shard_load> EstimateLoads(const std::vector<shard_load>& measured,
                                      const load_sampling& sampling);

}  // namespace bluebell

#endif  // BLUEBELL_KEYSPACE_LOAD_ESTIMATE_H_
