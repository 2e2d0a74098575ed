// The actions that key_coordinator::Advance() returns. The caller (the
// coordinator role on the control thread) carries them out and reports each
// result back to the key_coordinator.
//
//   for (const coordinator_action& action : keys.Advance(until, true, now)) {
//     std::visit(overloaded{[](const send_grant& order) { ... }, ...}, action);
//   }

#ifndef BLUEBELL_KEYSPACE_COORDINATOR_ACTION_H_
#define BLUEBELL_KEYSPACE_COORDINATOR_ACTION_H_

#include <cstdint>
#include <variant>
#include <vector>

#include "bluebell/core/address.h"
#include "bluebell/core/ids.h"
#include "bluebell/keyspace/grant_times.h"
#include "bluebell/keyspace/key_grant.h"
#include "bluebell/keyspace/key_range.h"
#include "bluebell/keyspace/key_reassignment.h"
#include "bluebell/keyspace/key_table.h"
#include "bluebell/keyspace/move_number.h"

namespace bluebell {

// Sends `grant` to the endpoint at `where`. The result goes to
// key_coordinator::OnGrantReply().
struct send_grant {
  endpoint_instance endpoint;
  address where;
  key_grant grant;
  // The grants of the range before this one.
  grant_times earlier_grants;
  // How often the table had been taken over when the grant was decided.
  std::uint64_t takeovers = 0;

  friend bool operator==(const send_grant&, const send_grant&) = default;
};

// Sends `release` to the endpoint at `where`. The result goes to
// key_coordinator::OnReleaseReply().
struct send_release {
  endpoint_instance endpoint;
  address where;
  key_release release;
  // The move that the release belongs to; zero for a probe.
  move_number move;
  // The grants of the range before the release.
  grant_times earlier_grants;

  friend bool operator==(const send_release&, const send_release&) = default;
};

// Writes `table` to the store on condition that the stored table still has the
// revision `expected`, from which `table` was derived. The result goes to
// key_coordinator::OnWritten(), OnWriteUnknown() or OnNotWritten().
struct write_key_table {
  key_table table;
  store_version expected;
  // What `table` changes.
  std::vector<key_reassignment> reassignments;
  // The ranges whose neighbouring parts `table` joins.
  std::vector<key_range> joined;

  friend bool operator==(const write_key_table&,
                         const write_key_table&) = default;
};

// Gives up the coordinator role so that another daemon can take it: more than
// half of the owners of keys don't answer this daemon.
struct resign_coordinator {
  friend bool operator==(const resign_coordinator&,
                         const resign_coordinator&) = default;
};

using coordinator_action =
    std::variant<send_grant, send_release, write_key_table, resign_coordinator>;

}  // namespace bluebell

#endif  // BLUEBELL_KEYSPACE_COORDINATOR_ACTION_H_
