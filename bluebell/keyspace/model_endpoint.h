// A model of the platform's endpoints for tests: holds keys for the time of a
// grant, begins work only on keys that it holds, and answers a release when the
// work on its keys has ended.
//
//   model_endpoint endpoint(release_policy::kAwaitsAllWork, 1.02);
//   if (endpoint.Grant(grant, arrived, now)) endpoint.Begin(key, ends, now);
//   instant answered = endpoint.Release(range, now);

#ifndef BLUEBELL_KEYSPACE_MODEL_ENDPOINT_H_
#define BLUEBELL_KEYSPACE_MODEL_ENDPOINT_H_

#include <algorithm>
#include <cstdint>
#include <vector>

#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"
#include "bluebell/keyspace/key_grant.h"
#include "bluebell/keyspace/key_range.h"

namespace bluebell {

enum class release_policy : std::uint8_t {
  // A release is answered when all work on its keys has ended.
  kAwaitsAllWork,
  // Only work on keys that the endpoint holds when the release arrives is
  // awaited. Without such keys the release is answered at once.
  kAwaitsWorkOnHeldKeys,
};

class model_endpoint {
 public:
  // The endpoint's clock measures a grant as `clock_ratio` times its duration,
  // from 1 to `kMaxClockRatio`.
  model_endpoint(release_policy policy, double clock_ratio)
      : policy_(policy), clock_ratio_(clock_ratio) {}

  // Carries out at `now` a grant that arrived at `arrived`. Returns false if
  // the endpoint has seen a higher fence.
  bool Grant(const key_grant& grant, instant arrived, instant now) {
    const bool superseded =
        std::any_of(seen_.begin(), seen_.end(), [&](const seen_fence& each) {
          return each.range.Overlaps(grant.range) && grant.fence < each.fence;
        });
    if (superseded) {
      return false;
    }
    std::erase_if(seen_, [&](const seen_fence& each) {
      return grant.range.Contains(each.range);
    });
    seen_.push_back({grant.range, grant.fence});
    Prune(now);
    const hold granted{grant.range, After(arrived, grant, clock_ratio_),
                       LatestEnd(grant, arrived)};
    if (now < granted.latest_until) {
      holds_.push_back(granted);
      for (work& each : works_) {
        if (grant.range.Contains(each.key)) {
          each.hold_until = std::max(each.hold_until, granted.latest_until);
        }
      }
    }
    return true;
  }

  // Begins work on `key` that runs until `ends_at`. Returns false if the
  // endpoint doesn't hold the key.
  bool Begin(shard_key key, instant ends_at, instant now) {
    if (!HoldsByOwnClock(key, now)) {
      return false;
    }
    instant hold_until;
    for (const hold& each : holds_) {
      if (each.range.Contains(key)) {
        hold_until = std::max(hold_until, each.latest_until);
      }
    }
    works_.push_back({key, ends_at, hold_until});
    return true;
  }

  // Ends the holds of `range`. Returns the time at which the release is
  // answered.
  instant Release(const key_range& range, instant now) {
    Prune(now);
    instant answered = now;
    for (const work& each : works_) {
      if (range.Contains(each.key) &&
          (policy_ == release_policy::kAwaitsAllWork ||
           HoldsByOwnClock(each.key, now))) {
        answered = std::max(answered, each.ends_at);
      }
    }
    std::vector<hold> rest;
    for (const hold& each : holds_) {
      for (const key_range& left : each.range.Without(range)) {
        rest.push_back({left, each.until, each.latest_until});
      }
    }
    holds_ = rest;
    return answered;
  }

  // True if a hold of a key in `range` hasn't certainly run out at `now`.
  bool MayHold(const key_range& range, instant now) const {
    return std::any_of(holds_.begin(), holds_.end(), [&](const hold& each) {
      return each.range.Overlaps(range) && now < each.latest_until;
    });
  }
  // True if work on a key in `range` runs at `now`, and the hold under which it
  // runs would not certainly have run out without a release.
  bool IsAtWorkWithinHold(const key_range& range, instant now) const {
    return std::any_of(works_.begin(), works_.end(), [&](const work& each) {
      return range.Contains(each.key) && now < each.ends_at &&
             now < each.hold_until;
    });
  }
  // The ranges that the endpoint holds at `now` by its own clock.
  std::vector<key_range> HeldRanges(instant now) const {
    std::vector<key_range> held;
    for (const hold& each : holds_) {
      if (now < each.until) {
        held.push_back(each.range);
      }
    }
    return held;
  }

  // When a grant that arrived at `arrived` has run out by the slowest clock
  // that an endpoint may have.
  static instant LatestEnd(const key_grant& grant, instant arrived) {
    return After(arrived, grant, kMaxClockRatio);
  }

  static constexpr double kMaxClockRatio = 1.02;

 private:
  struct hold {
    key_range range;
    // By the endpoint's own clock.
    instant until;
    // By the slowest clock that an endpoint may have.
    instant latest_until;
  };
  struct seen_fence {
    key_range range;
    epoch fence;
  };
  struct work {
    shard_key key = 0;
    instant ends_at;
    instant hold_until;
  };

  static instant After(instant arrived, const key_grant& grant, double ratio) {
    return arrived +
           std::chrono::duration_cast<duration>(grant.grant_duration * ratio);
  }

  bool HoldsByOwnClock(shard_key key, instant now) const {
    return std::any_of(holds_.begin(), holds_.end(), [&](const hold& each) {
      return each.range.Contains(key) && now < each.until;
    });
  }

  void Prune(instant now) {
    std::erase_if(holds_,
                  [now](const hold& each) { return each.latest_until <= now; });
    std::erase_if(works_,
                  [now](const work& each) { return each.ends_at <= now; });
  }

  release_policy policy_;
  double clock_ratio_;
  std::vector<hold> holds_;
  std::vector<seen_fence> seen_;
  std::vector<work> works_;
};

}  // namespace bluebell

#endif  // BLUEBELL_KEYSPACE_MODEL_ENDPOINT_H_
