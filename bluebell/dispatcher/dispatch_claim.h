// A dispatcher's claim to be the only sender of orders to an endpoint, and the
// time from which its request ledger is complete.
//
// Endpoints that check epochs refuse orders with a lower dispatcher epoch than
// they have seen, so a former dispatcher that is still running can't send after
// the first order of the new one. Other endpoints accept orders from both until
// the former dispatcher learns of the new one.
//
//   dispatch_claim claim = dispatch_claim::Make(timing, checks_epoch, now);

#ifndef BLUEBELL_DISPATCHER_DISPATCH_CLAIM_H_
#define BLUEBELL_DISPATCHER_DISPATCH_CLAIM_H_

#include <cstdint>
#include <optional>

#include "bluebell/core/time.h"
#include "bluebell/settings/timing_settings.h"

namespace bluebell {

class dispatch_claim {
 public:
  // The claim of a daemon that becomes dispatcher at `now`.
  static dispatch_claim Make(const timing_settings& timing,
                             bool checks_epoch,
                             wall_instant now);

  // The claim that replaces this one after the endpoint refused it as stale. No
  // value if this claim is too recent, so that two daemons that both act as the
  // dispatcher don't keep raising the epoch.
  std::optional<dispatch_claim> Renewed(wall_instant now) const;

  // Fencing token of the claim; each claim has a higher one. It is the wall
  // clock time in microseconds, so that a later claim of another daemon is
  // higher without any exchange between the daemons.
  std::uint64_t epoch() const { return epoch_; }

  // Requests issued before this time may have been sent by the former
  // dispatcher.
  wall_instant complete_from() const { return complete_from_; }

  friend bool operator==(const dispatch_claim&,
                         const dispatch_claim&) = default;

 private:
  dispatch_claim(duration max_overlap,
                 wall_instant now,
                 std::uint64_t least_epoch);

  // The longest time after the claim for which the former dispatcher may send.
  duration max_overlap_;
  wall_instant made_at_;
  std::uint64_t epoch_;
  wall_instant complete_from_;
};

}  // namespace bluebell

#endif  // BLUEBELL_DISPATCHER_DISPATCH_CLAIM_H_
