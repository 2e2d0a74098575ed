// What the coordinator of a keyed service wants done.

#ifndef BLUEBELL_KEYSPACE_COORDINATOR_ACTION_H_
#define BLUEBELL_KEYSPACE_COORDINATOR_ACTION_H_

#include <variant>

#include "bluebell/core/address.h"
#include "bluebell/core/ids.h"
#include "bluebell/keyspace/key_grant.h"
#include "bluebell/keyspace/key_table.h"

namespace bluebell {

struct send_grant {
  endpoint_instance endpoint;
  address where;
  key_grant grant;

  friend bool operator==(const send_grant&, const send_grant&) = default;
};

struct send_release {
  endpoint_instance endpoint;
  address where;
  key_release release;

  friend bool operator==(const send_release&, const send_release&) = default;
};

// Writes the table if the store still has the revision it was made from.
struct write_key_table {
  key_table table;
  store_version expected;

  friend bool operator==(const write_key_table&,
                         const write_key_table&) = default;
};

// Another daemon should coordinate: this one reaches too few endpoints.
struct resign_coordinator {
  friend bool operator==(const resign_coordinator&,
                         const resign_coordinator&) = default;
};

using coordinator_action =
    std::variant<send_grant, send_release, write_key_table, resign_coordinator>;

}  // namespace bluebell

#endif  // BLUEBELL_KEYSPACE_COORDINATOR_ACTION_H_
