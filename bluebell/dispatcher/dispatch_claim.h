// A dispatcher's claim to be the only sender of orders to an endpoint, and from
// when on its request ledger knows all that was sent there.
//
// Endpoints that check epochs refuse orders of a lower dispatcher epoch, so a
// former dispatcher that still runs can't send after the first order of the
// new one. Others accept orders from both until the former one has learnt of
// its successor.
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

  // The claim to make after the endpoint refused this one as stale. Empty if
  // the last claim is too recent: two daemons that both believe to be
  // dispatcher must not drive each other's epochs up.
  std::optional<dispatch_claim> Renewed(wall_instant now) const;

  // Rises with every claim. Wall clock microseconds, so that a later claim of
  // another daemon is higher without any exchange between them.
  std::uint64_t epoch() const { return epoch_; }

  // Requests issued before may have been sent by the former dispatcher.
  wall_instant complete_from() const { return complete_from_; }

  friend bool operator==(const dispatch_claim&,
                         const dispatch_claim&) = default;

 private:
  dispatch_claim(duration margin, wall_instant now, std::uint64_t least_epoch);

  duration margin_;
  wall_instant made_at_;
  std::uint64_t epoch_;
  wall_instant complete_from_;
};

}  // namespace bluebell

#endif  // BLUEBELL_DISPATCHER_DISPATCH_CLAIM_H_
