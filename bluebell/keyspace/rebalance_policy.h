// How a coordinator moves keys from owners that are busier than the others.

#ifndef BLUEBELL_KEYSPACE_REBALANCE_POLICY_H_
#define BLUEBELL_KEYSPACE_REBALANCE_POLICY_H_

#include <cstddef>
#include <variant>

namespace bluebell {

// A few moves at a time. The next ones are planned when all of these have
// ended.
struct gradual_rebalance {
  friend bool operator==(const gradual_rebalance&,
                         const gradual_rebalance&) = default;
};

// All moves that lead to an even use of the owners' capacities, while earlier
// ones are still under way.
struct complete_rebalance {
  friend bool operator==(const complete_rebalance&,
                         const complete_rebalance&) = default;
};

using rebalance_policy = std::variant<gradual_rebalance, complete_rebalance>;

// With this many owners one gradual move for each of them takes 3 s: 16 moves
// each 300 ms.
inline constexpr std::size_t kMinOwnersForCompleteRebalance = 160;

// The coordinator renews each range and mostly dispatches the service as well.
// With more owners it has no processor time left for the moves of complete
// plans.
inline constexpr std::size_t kMaxOwnersForCompleteRebalance = 256;

inline rebalance_policy RebalancePolicyFor(std::size_t endpoint_count) {
  if (endpoint_count >= kMinOwnersForCompleteRebalance &&
      endpoint_count <= kMaxOwnersForCompleteRebalance) {
    return complete_rebalance();
  }
  return gradual_rebalance();
}

}  // namespace bluebell

#endif  // BLUEBELL_KEYSPACE_REBALANCE_POLICY_H_
