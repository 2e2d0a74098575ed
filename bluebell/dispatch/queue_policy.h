// How the requests for an endpoint queue: this system's policy, or a baseline
// that measurements compare it with.
//
//   result<queue_policy> policy = ParseQueuePolicy("fifo");

#ifndef BLUEBELL_DISPATCH_QUEUE_POLICY_H_
#define BLUEBELL_DISPATCH_QUEUE_POLICY_H_

#include <cstdint>
#include <string_view>
#include <variant>

#include "bluebell/core/result.h"

namespace bluebell {

// "bluebell": urgent first with guaranteed shares, fair between callers.
struct ranked_policy {
  // Slots that the lower ranks leave free for urgent work unless they are owed
  // slot time.
  std::uint32_t held_slots = 0;

  friend bool operator==(const ranked_policy&, const ranked_policy&) = default;
};

// "fifo": one queue at the dispatcher, first come, first served.
struct fifo_policy {
  friend bool operator==(const fifo_policy&, const fifo_policy&) = default;
};

// "per_host_limit": no dispatcher. Each entry daemon has a FIFO queue and its
// part of the slots, at least one.
struct per_host_limit_policy {
  std::uint32_t hosts = 11;

  friend bool operator==(const per_host_limit_policy&,
                         const per_host_limit_policy&) = default;
};

using queue_policy =
    std::variant<ranked_policy, fifo_policy, per_host_limit_policy>;

// Reads the setting `dispatch_policy`.
result<queue_policy> ParseQueuePolicy(std::string_view name);

}  // namespace bluebell

#endif  // BLUEBELL_DISPATCH_QUEUE_POLICY_H_
