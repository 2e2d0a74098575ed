// Decides which orders this daemon may send, by the phase of its role and by
// the last proof that it has the role. The check belongs right before an order
// is written: between the decision and the writing, the connection may have to
// be opened, and the role may end.
//
// A successor counts the wait for the grants of this daemon from the moment at
// which this daemon has yielded or its authority has ended. The wait covers an
// order that was written before that moment and arrives within `call_timeout`
// of it, and no other.
//
// An aggregate without I/O, used on the control thread.
//
//   order_authority authority(timing);
//   const std::uint64_t term = authority.OnClaimed();
//   if (authority.MaySend(order_kind::kGrant, term, proven_at, now)) ...
//   authority.OnLeaving();
//   authority.OnStopped();

#ifndef BLUEBELL_GATEWAY_ORDER_AUTHORITY_H_
#define BLUEBELL_GATEWAY_ORDER_AUTHORITY_H_

#include <cstdint>
#include <variant>

#include "bluebell/core/time.h"
#include "bluebell/keyspace/key_timing.h"

namespace bluebell {

enum class order_kind { kGrant, kRelease, kTableWrite };

// The phases of the role.
struct not_coordinating {
  friend bool operator==(const not_coordinating&,
                         const not_coordinating&) = default;
};
struct coordinating {
  friend bool operator==(const coordinating&, const coordinating&) = default;
};
// The lease is being ended, and a successor may have started already. Keys stay
// served by further grants; nothing starts that the successor would have to
// finish.
struct handing_over {
  friend bool operator==(const handing_over&, const handing_over&) = default;
};
using role_phase = std::variant<not_coordinating, coordinating, handing_over>;

class order_authority {
 public:
  explicit order_authority(const key_timing& timing) : timing_(timing) {}

  // This daemon has become the coordinator. Returns the number of the term.
  std::uint64_t OnClaimed();
  // This daemon begins to end its lease. No effect unless it coordinates.
  void OnLeaving();
  // This daemon has stopped. Orders of the term that aren't written yet must
  // not be written any more.
  void OnStopped();

  // Whether an order of the given term may be written at `now`. `proven_at` is
  // when the last call was sent whose response proved that this daemon has the
  // role.
  bool MaySend(order_kind kind,
               std::uint64_t term,
               instant proven_at,
               instant now) const;
  // When the authority that was last proven at `proven_at` ends.
  instant EndOf(instant proven_at) const {
    return proven_at + timing_.authority_duration;
  }

  // True from OnClaimed() to OnStopped().
  bool has_role() const {
    return !std::holds_alternative<not_coordinating>(phase_);
  }
  const role_phase& phase() const { return phase_; }
  // Increases with each OnClaimed() and OnStopped().
  std::uint64_t term() const { return term_; }

 private:
  key_timing timing_;
  role_phase phase_;
  std::uint64_t term_ = 0;
};

}  // namespace bluebell

#endif  // BLUEBELL_GATEWAY_ORDER_AUTHORITY_H_
