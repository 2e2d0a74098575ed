// The policy by which requests for an endpoint are queued: the policy of this
// system, or a baseline for comparison.
//
//   result<queue_policy> policy = ParseQueuePolicy("fifo");

#ifndef BLUEBELL_DISPATCH_QUEUE_POLICY_H_
#define BLUEBELL_DISPATCH_QUEUE_POLICY_H_

#include <cstdint>
#include <string_view>
#include <variant>

#include "bluebell/core/result.h"

namespace bluebell {

// "bluebell": urgent requests first, guaranteed shares of slot time for the
// other ranks, fair sharing between callers.
struct ranked_policy {
  // The number of slots that the lower ranks leave free for urgent requests,
  // unless they have had less than their guaranteed share of slot time.
  std::uint32_t reserved_slots = 0;

  friend bool operator==(const ranked_policy&, const ranked_policy&) = default;
};

// "fifo": one queue at the dispatcher, first come, first served.
struct fifo_policy {
  friend bool operator==(const fifo_policy&, const fifo_policy&) = default;
};

// "per_host_limit": no common queue. Each of `hosts` entry daemons has a FIFO
// queue and an equal part of the slots, at least one.
struct per_host_limit_policy {
  std::uint32_t hosts = 11;

  friend bool operator==(const per_host_limit_policy&,
                         const per_host_limit_policy&) = default;
};

using queue_policy =
    std::variant<ranked_policy, fifo_policy, per_host_limit_policy>;

// Parses the setting `dispatch_policy`. Fails with errc::kInvalidArgument if
// there is no policy of this name.
result<queue_policy> ParseQueuePolicy(std::string_view name);

}  // namespace bluebell

#endif  // BLUEBELL_DISPATCH_QUEUE_POLICY_H_
