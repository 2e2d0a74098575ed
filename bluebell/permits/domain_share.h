// The share of another failure domain's available slots that the requests from
// one domain may use, and whether they use that domain at all.
//
// The share is raised and lowered in steps, so that a burst in one domain
// leaves the other domain time to show whether its own callers need the slots.
//
//   domain_share share;
//   if (share.Admits(gain, price, now) && share.HasRoom(in_use, free)) ...
//   bool changed = share.Update(target_has_waiting, now);

#ifndef BLUEBELL_PERMITS_DOMAIN_SHARE_H_
#define BLUEBELL_PERMITS_DOMAIN_SHARE_H_

#include <cstdint>

#include "bluebell/core/time.h"

namespace bluebell {

class domain_share {
 public:
  // True if a request that gains `gain` is sent at `price`. The gain must
  // exceed the price by a margin to open the other domain, and may be less than
  // it while the domain is open.
  bool Admits(duration gain, duration price, instant now);
  // True if a request may use one of `free` slots when others from its domain
  // use `in_use` already.
  bool HasRoom(std::uint32_t in_use, std::uint32_t free);
  // Opens the other domain for a request that is sent there, or keeps it open.
  void KeepOpen(instant now);
  // Changes the share by at most one step. `target_has_waiting` is true if
  // callers in the other domain wait for its slots. Returns true if share() or
  // is_open() has changed.
  bool Update(bool target_has_waiting, instant now);

  bool is_open() const { return is_open_; }
  double share() const;

 private:
  static constexpr std::uint32_t kSteps = 8;
  static constexpr std::uint32_t kInitialSteps = 2;

  std::uint32_t steps_ = kInitialSteps;
  bool is_open_ = false;
  // True if the domain was opened since the latest Update().
  bool was_opened_ = false;
  // True if the share has held back a request since the latest step.
  bool was_limiting_ = false;
  instant last_worthwhile_;
  instant next_step_;
};

}  // namespace bluebell

#endif  // BLUEBELL_PERMITS_DOMAIN_SHARE_H_
