#include "bluebell/keyspace/range_joiner.h"

#include <algorithm>
#include <cstddef>
#include <variant>

#include "bluebell/core/overloaded.h"
#include "bluebell/keyspace/grant_record.h"

namespace bluebell {

std::vector<key_range> range_joiner::JoinableRanges(
    const std::vector<granted_range>& granted,
    const rebalance_policy& policy,
    instant now) const {
  const milliseconds join_delay = std::visit(
      overloaded{
          [&](const gradual_rebalance&) { return timing_.join_delay; },
          [&](const complete_rebalance&) { return timing_.short_join_delay; }},
      policy);
  std::vector<key_range> joinable;
  for (std::size_t i = 1; i < granted.size(); ++i) {
    if (!CanJoin(granted[i - 1], granted[i], join_delay, now)) {
      continue;
    }
    if (!joinable.empty() &&
        joinable.back().last == granted[i - 1].range.last) {
      joinable.back().last = granted[i].range.last;
    } else {
      joinable.push_back({granted[i - 1].range.first, granted[i].range.last});
    }
  }
  return joinable;
}

bool range_joiner::CanJoin(const granted_range& a,
                           const granted_range& b,
                           milliseconds join_delay,
                           instant now) {
  const instant assigned_at =
      std::max(a.grants.assigned_at(), b.grants.assigned_at());
  return a.owner == b.owner && a.range.last + 1 == b.range.first &&
         grant_record::CanMerge(a.grants, b.grants) &&
         assigned_at + join_delay <= now;
}

}  // namespace bluebell
