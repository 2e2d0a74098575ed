#include "bluebell/dispatch/queue_policy.h"

#include <string>

namespace bluebell {

result<queue_policy> ParseQueuePolicy(std::string_view name) {
  if (name == "bluebell") {
    return queue_policy(ranked_policy{});
  }
  if (name == "fifo") {
    return queue_policy(fifo_policy{});
  }
  if (name == "per_host_limit") {
    return queue_policy(per_host_limit_policy{});
  }
  return error(errc::kInvalidArgument, step::kParseSettings, std::string(name),
               "dispatch_policy is bluebell, fifo or per_host_limit");
}

}  // namespace bluebell
