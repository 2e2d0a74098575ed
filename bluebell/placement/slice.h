// A slice: a range of key hashes and the state of its ownership. The owner of a
// slice serves all keys whose hashes lie in the range.

#ifndef BLUEBELL_PLACEMENT_SLICE_H_
#define BLUEBELL_PLACEMENT_SLICE_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>

#include "bluebell/core/ids.h"
#include "bluebell/placement/slice_range.h"

namespace bluebell {

// Why a slice leaves its owner.
enum class move_cause : std::uint8_t {
  kEndpointLost,
  kEndpointDraining,
  kInstanceReplaced,
  kDomainLost,
  kRebalance,
  kOperator,
};

std::string_view ToString(move_cause value);
std::optional<move_cause> ParseMoveCause(std::string_view text);

// The slice has no owner, and no lease with an epoch up to and including `at`
// can still be valid.
struct unassigned {
  epoch at;

  friend bool operator==(const unassigned&, const unassigned&) = default;
};

// `owner`, an endpoint instance in the failure domain `domain`, may serve the
// slice under leases with the epoch `at`.
struct owned {
  endpoint_instance owner;
  domain_name domain;
  epoch at;

  friend bool operator==(const owned&, const owned&) = default;
};

// The slice is between two owners. The former owner may still hold a lease with
// an epoch below `at`. The slice gets a new owner only when that is impossible.
struct moving {
  endpoint_instance from;
  domain_name from_domain;
  epoch at;
  move_cause cause = move_cause::kRebalance;
  // The table version that began the move.
  table_version since;
  // The endpoint that a planned move intends as the next owner.
  std::optional<endpoint_id> to;

  friend bool operator==(const moving&, const moving&) = default;
};

using slice_state = std::variant<unassigned, owned, moving>;

struct slice {
  slice_range range;
  slice_state state;

  friend bool operator==(const slice&, const slice&) = default;
};

epoch EpochOf(const slice_state& state);
// Empty unless the slice is `owned`.
std::optional<endpoint_instance> OwnerOf(const slice_state& state);

}  // namespace bluebell

#endif  // BLUEBELL_PLACEMENT_SLICE_H_
