// The load of each key of one service, as an exponentially decaying mean. The
// dispatcher's slot scheduler feeds it; the coordinator's planner uses the
// result.
//
//   shard_load_meter meter;
//   meter.Add(key, milliseconds(220), now);
//   std::vector<shard_load> loads = meter.Loads(now);

#ifndef BLUEBELL_KEYSPACE_SHARD_LOAD_H_
#define BLUEBELL_KEYSPACE_SHARD_LOAD_H_

#include <cstddef>
#include <map>
#include <vector>

#include "bluebell/core/decaying_load.h"
#include "bluebell/core/time.h"
#include "bluebell/keyspace/key_range.h"
#include "bluebell/keyspace/load_trend.h"
#include "bluebell/keyspace/rebalance_policy.h"

namespace bluebell {

struct shard_load {
  shard_key key = 0;
  // The mean number of slots that the key's requests occupy.
  double slots = 0;

  friend bool operator==(const shard_load&, const shard_load&) = default;
};

class shard_load_meter {
 public:
  // A request for `key`, which occupies a slot for the time `work`, arrived at
  // `now`.
  void Add(shard_key key, duration work, instant now);

  // The keys' loads at `now`, in ascending order of the keys, without those
  // whose load has decayed to a negligible value. For complete plans they are
  // estimated from the measured ones; see EstimateLoads().
  std::vector<shard_load> Loads(instant now) const;

  // For which plans the loads are measured from `now` on. The loads measured
  // before are kept.
  void SetPolicy(const rebalance_policy& policy, instant now);

 private:
  // Long enough to average over several requests of a key, short enough to
  // follow keys that become busy.
  static constexpr decaying_load::window kGradualMeanTime{2.5};

  void RemoveNegligible(instant now);
  // The loads, as measured.
  std::vector<shard_load> MeasuredLoads(instant now) const;

  // The time constant with which a key's load decays.
  decaying_load::window mean_time_ = kGradualMeanTime;
  std::map<shard_key, decaying_load> loads_;
  // One for each block of keys; empty unless complete plans are made.
  std::vector<load_trend> trends_;
  decaying_load::window mean_work_{0};
  instant next_cleanup_;
};

}  // namespace bluebell

#endif  // BLUEBELL_KEYSPACE_SHARD_LOAD_H_
