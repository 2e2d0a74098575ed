// A range that a key table assigns to a new owner, and why its former owner
// can't serve it any more. Part of write_key_table.

#ifndef BLUEBELL_KEYSPACE_KEY_REASSIGNMENT_H_
#define BLUEBELL_KEYSPACE_KEY_REASSIGNMENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"
#include "bluebell/keyspace/grant_times.h"
#include "bluebell/keyspace/key_range.h"
#include "bluebell/keyspace/move_number.h"

namespace bluebell {

enum class reassignment_reason : std::uint8_t {
  // The range had no owner.
  kNoOwner,
  // The former owner confirmed a release while it held the range, and no grant
  // is unanswered.
  kReleased,
  // All grants of the former owner have expired.
  kGrantsExpired,
  // A later process has the former owner's address.
  kProcessEnded,
  // The former owner gets the range back.
  kReturnsToOwner,
};

// A clause for log lines.
std::string_view ToText(reassignment_reason reason);

struct key_reassignment {
  key_range range;
  move_number move;
  endpoint_instance from;
  endpoint_instance to;
  epoch fence;
  reassignment_reason reason = reassignment_reason::kNoOwner;
  // The token that the former owner returned; empty without one.
  std::string handover;
  // The former owner's grants, and when it confirmed the release.
  grant_times grants;
  std::optional<instant> released_at;

  friend bool operator==(const key_reassignment&,
                         const key_reassignment&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_KEYSPACE_KEY_REASSIGNMENT_H_
