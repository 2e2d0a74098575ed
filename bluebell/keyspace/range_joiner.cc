#include "bluebell/keyspace/range_joiner.h"

#include <algorithm>
#include <cstddef>

#include "bluebell/keyspace/grant_record.h"

namespace bluebell {

std::vector<key_range> range_joiner::JoinableRanges(
    const std::vector<granted_range>& granted,
    instant now) const {
  std::vector<key_range> joinable;
  for (std::size_t i = 1; i < granted.size(); ++i) {
    if (!CanJoin(granted[i - 1], granted[i], now)) {
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
                           instant now) const {
  const instant assigned_at =
      std::max(a.grants.assigned_at(), b.grants.assigned_at());
  return a.owner == b.owner && a.range.last + 1 == b.range.first &&
         grant_record::CanMerge(a.grants, b.grants) &&
         assigned_at + timing_.join_delay <= now;
}

}  // namespace bluebell
