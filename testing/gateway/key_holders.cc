#include "testing/gateway/key_holders.h"

#include <algorithm>
#include <sstream>

namespace bluebell {

namespace {

// A new process with the id of a former one takes grants that were on their way
// to that one.
bool SameEndpoint(const std::string& a, const std::string& b) {
  return a.substr(0, a.find('/')) == b.substr(0, b.find('/'));
}

std::string Describe(const key_range& range) {
  return std::to_string(range.first) + " to " + std::to_string(range.last);
}

}  // namespace

bool key_holders::Grant(const std::string& holder,
                        const key_range& range,
                        std::uint64_t fence,
                        instant until,
                        grant_timing timing,
                        instant now) {
  holder_state& own = holders_[holder];
  for (const known_grant& each : own.seen) {
    if (each.range.Overlaps(range) && fence < each.fence) {
      return false;
    }
  }
  if (timing != grant_timing::kHeldUp && now < until) {
    CheckOthers(holder, range, fence, timing, now);
  }
  const bool known = std::any_of(
      own.seen.begin(), own.seen.end(), [&](const known_grant& each) {
        return each.range == range && each.fence == fence;
      });
  if (!known) {
    own.seen.push_back({range, fence});
  }
  Remove(own.held, range, now);
  if (now < until) {
    own.held.push_back({range, fence, until});
  }
  return true;
}

void key_holders::CheckOthers(const std::string& holder,
                              const key_range& range,
                              std::uint64_t fence,
                              grant_timing timing,
                              instant now) {
  for (const auto& [other, state] : holders_) {
    if (other == holder) {
      continue;
    }
    for (const holding& each : state.held) {
      if (now < each.until && each.range.Overlaps(range)) {
        std::ostringstream text;
        text << "keys " << Describe(range) << " granted to " << holder
             << " with fence " << fence << " while " << other << " holds "
             << Describe(each.range) << " with fence " << each.fence << " for "
             << std::chrono::duration_cast<milliseconds>(each.until - now)
                    .count()
             << " ms more";
        violations_.push_back(text.str());
      }
    }
    for (const known_grant& each : state.seen) {
      if (timing == grant_timing::kPrompt && !SameEndpoint(other, holder) &&
          fence <= each.fence && each.range.Overlaps(range)) {
        std::ostringstream text;
        text << "keys " << Describe(range) << " granted to " << holder
             << " with fence " << fence << ", not above that of " << other
             << ", " << each.fence;
        violations_.push_back(text.str());
      }
    }
  }
}

void key_holders::Release(const std::string& holder,
                          const key_range& range,
                          instant now) {
  Remove(holders_[holder].held, range, now);
}

void key_holders::Forget(const std::string& holder) {
  holders_[holder].held.clear();
}

bool key_holders::Holds(const std::string& holder,
                        shard_key key,
                        instant now) const {
  const auto found = holders_.find(holder);
  return found != holders_.end() &&
         std::any_of(found->second.held.begin(), found->second.held.end(),
                     [&](const holding& each) {
                       return each.range.Contains(key) && now < each.until;
                     });
}

void key_holders::Remove(std::vector<holding>& held,
                         const key_range& range,
                         instant now) {
  std::vector<holding> rest;
  for (const holding& each : held) {
    if (each.until <= now) {
      continue;
    }
    for (const key_range& left : each.range.Without(range)) {
      rest.push_back({left, each.fence, each.until});
    }
  }
  held = rest;
}

}  // namespace bluebell
