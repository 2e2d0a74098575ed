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
                        const taken_grant& grant,
                        instant now) {
  holder_state& own = holders_[holder];
  for (const known_grant& each : own.seen) {
    if (each.range.Overlaps(grant.range) && grant.fence < each.fence) {
      return false;
    }
  }
  if (grant.timing != grant_timing::kHeldUp && now < grant.latest) {
    CheckOthers(holder, grant, now);
  }
  const bool known = std::any_of(
      own.seen.begin(), own.seen.end(), [&](const known_grant& each) {
        return each.range == grant.range && each.fence == grant.fence;
      });
  if (!known) {
    own.seen.push_back({grant.range, grant.fence});
  }
  TakeOut(own.held, grant.range, now);
  if (now < grant.latest) {
    own.held.push_back({grant, false});
  }
  return true;
}

void key_holders::CheckOthers(const std::string& holder,
                              const taken_grant& grant,
                              instant now) {
  for (const auto& [other, state] : holders_) {
    if (other != holder) {
      CheckHolds(holder, grant, other, now);
    }
    if (grant.timing == grant_timing::kPrompt && !SameEndpoint(other, holder)) {
      CheckFences(holder, grant, other);
    }
  }
}

void key_holders::CheckHolds(const std::string& holder,
                             const taken_grant& grant,
                             const std::string& other,
                             instant now) {
  const holder_state& state = holders_.at(other);
  for (const holding& each : state.held) {
    if (each.grant.latest <= now || !each.grant.range.Overlaps(grant.range)) {
      continue;
    }
    const auto left =
        std::chrono::duration_cast<milliseconds>(each.grant.latest - now);
    if (!each.released) {
      std::ostringstream text;
      text << "keys " << Describe(grant.range) << " granted to " << holder
           << " with fence " << grant.fence << " while " << other << " holds "
           << Describe(each.grant.range) << " with fence " << each.grant.fence
           << " for " << left.count() << " ms more";
      violations_.push_back(text.str());
    }
    if (grant.timing != grant_timing::kPrompt ||
        each.grant.timing == grant_timing::kHeldUp) {
      continue;
    }
    for (const auto& [work, key] : state.running) {
      if (grant.range.Contains(key) && each.grant.range.Contains(key)) {
        std::ostringstream text;
        text << "keys " << Describe(grant.range) << " granted to " << holder
             << " with fence " << grant.fence << " while " << other
             << " is at work " << work << " on key " << key << ", whose "
             << (each.released ? "released " : "") << "hold with fence "
             << each.grant.fence << " ends in " << left.count() << " ms";
        violations_.push_back(text.str());
      }
    }
  }
}

void key_holders::CheckFences(const std::string& holder,
                              const taken_grant& grant,
                              const std::string& other) {
  for (const known_grant& each : holders_.at(other).seen) {
    if (grant.fence <= each.fence && each.range.Overlaps(grant.range)) {
      std::ostringstream text;
      text << "keys " << Describe(grant.range) << " granted to " << holder
           << " with fence " << grant.fence << ", not above that of " << other
           << ", " << each.fence;
      violations_.push_back(text.str());
    }
  }
}

void key_holders::Release(const std::string& holder,
                          const key_range& range,
                          instant now) {
  std::vector<holding>& held = holders_[holder].held;
  for (holding each : TakeOut(held, range, now)) {
    each.released = true;
    held.push_back(each);
  }
}

void key_holders::BeginWork(const std::string& holder,
                            std::uint64_t work,
                            shard_key key) {
  holders_[holder].running[work] = key;
}

void key_holders::EndWork(const std::string& holder, std::uint64_t work) {
  holders_[holder].running.erase(work);
}

void key_holders::Forget(const std::string& holder) {
  holders_[holder].held.clear();
  holders_[holder].running.clear();
}

bool key_holders::Holds(const std::string& holder,
                        shard_key key,
                        instant now) const {
  return HoldsAnyOf(holder, {key, key}, now);
}

bool key_holders::HoldsAnyOf(const std::string& holder,
                             const key_range& range,
                             instant now) const {
  const auto found = holders_.find(holder);
  return found != holders_.end() &&
         std::any_of(found->second.held.begin(), found->second.held.end(),
                     [&](const holding& each) {
                       return !each.released && now < each.grant.until &&
                              each.grant.range.Overlaps(range);
                     });
}

std::vector<key_holders::holding> key_holders::TakeOut(
    std::vector<holding>& held,
    const key_range& range,
    instant now) {
  std::vector<holding> rest;
  std::vector<holding> taken;
  const auto add = [](std::vector<holding>& parts, holding part,
                      const key_range& of) {
    part.grant.range = of;
    parts.push_back(part);
  };
  for (const holding& each : held) {
    if (each.grant.latest <= now) {
      continue;
    }
    for (const key_range& left : each.grant.range.Without(range)) {
      add(rest, each, left);
    }
    if (each.grant.range.Overlaps(range)) {
      add(taken, each,
          {std::max(each.grant.range.first, range.first),
           std::min(each.grant.range.last, range.last)});
    }
  }
  held = rest;
  return taken;
}

}  // namespace bluebell
