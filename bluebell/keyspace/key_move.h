// A range of keys that is moving from one owner to another, and the rule when
// it may be assigned to the new one.
//
// An aggregate without I/O, a part of key_coordinator.
//
//   key_move move = key_move::FromOwner(number, range, owner, grants, to, now);
//   if (move.IsReleaseDue(now)) move.OnReleaseSent(now);
//   move.OnReleaseReply("token", now);
//   std::optional<instant> free = move.ReassignableAt(timing);

#ifndef BLUEBELL_KEYSPACE_KEY_MOVE_H_
#define BLUEBELL_KEYSPACE_KEY_MOVE_H_

#include <optional>
#include <string>

#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"
#include "bluebell/keyspace/grant_record.h"
#include "bluebell/keyspace/key_range.h"
#include "bluebell/keyspace/move_number.h"

namespace bluebell {

struct key_timing;

class key_move {
 public:
  // A move of `range` away from its owner `from`. `grants` are the owner's
  // grants; no new ones are sent during the move. Without a value of `to`, a
  // new owner is chosen when the table is written. The release isn't sent
  // before `release_at`.
  static key_move FromOwner(move_number number,
                            const key_range& range,
                            endpoint_instance from,
                            grant_record grants,
                            std::optional<endpoint_instance> to,
                            instant release_at,
                            instant now);
  // A range without an owner. It needs no release.
  static key_move WithoutOwner(move_number number,
                               const key_range& range,
                               instant now);

  move_number number() const { return number_; }
  const key_range& range() const { return range_; }
  const endpoint_instance& from() const { return from_; }
  const std::optional<endpoint_instance>& to() const { return to_; }
  const grant_record& grants() const { return grants_; }
  grant_record& grants() { return grants_; }
  bool was_released() const { return released_at_.has_value(); }
  // When the former owner confirmed the release.
  const std::optional<instant>& released_at() const { return released_at_; }
  bool is_release_in_flight() const { return release_in_flight_; }
  // The token that the former owner returned; empty without one.
  const std::string& handover() const { return handover_; }
  instant started_at() const { return started_at_; }

  // The range goes back to its former owner.
  void ReturnToOwner() { to_ = from_; }

  // True if a release is to be sent at `now`. False while a grant is in flight:
  // the release could arrive before the grant, and the endpoint would then
  // serve the keys again after it has confirmed the release.
  bool IsReleaseDue(instant now) const;
  void OnReleaseSent() { release_in_flight_ = true; }
  // The result of the release that is in flight. `handover`: as for
  // key_coordinator::OnReleaseReply().
  void OnReleaseReply(std::optional<std::string> handover, instant now);
  // The release that was to be sent was certainly not sent.
  void OnReleaseUnsent(instant now);

  // True if the former owner confirmed the first release that can have reached
  // it, while it certainly held the range: no work that it accepted on these
  // keys runs any more. After an earlier release it may have had nothing to
  // release, and may have confirmed at once.
  bool IsEndProved(const key_timing& timing) const;
  // The time from which the former owner can't serve the range any more. No
  // value while that isn't known.
  std::optional<instant> ReassignableAt(const key_timing& timing) const;

 private:
  key_move() = default;

  move_number number_;
  key_range range_;
  endpoint_instance from_;
  std::optional<endpoint_instance> to_;
  grant_record grants_;
  std::optional<instant> released_at_;
  std::string handover_;
  bool release_in_flight_ = false;
  instant next_release_;
  instant started_at_;
};

}  // namespace bluebell

#endif  // BLUEBELL_KEYSPACE_KEY_MOVE_H_
