// Messages between daemons when the coordinator changes. The new coordinator
// sends a claim to each former one that may still send orders about keys; the
// receiver stops and answers with a yield.

#ifndef BLUEBELL_KEYSPACE_COORDINATOR_CHANGE_H_
#define BLUEBELL_KEYSPACE_COORDINATOR_CHANGE_H_

#include <cstdint>

#include "bluebell/core/ids.h"

namespace bluebell {

// The sender became the coordinator with the write that gave the store the
// revision `revision`.
struct coordinator_claim {
  std::uint64_t revision = 0;

  friend bool operator==(const coordinator_claim&,
                         const coordinator_claim&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(revision);
  }
};

// Answer to a claim: the process `yielded` isn't the coordinator and sends no
// more orders about keys under an earlier claim. `revision` is that of the
// claim. The answer proves nothing about other processes that have or had the
// same daemon id or address.
struct coordinator_yield {
  std::uint64_t revision = 0;
  daemon_instance yielded;

  friend bool operator==(const coordinator_yield&,
                         const coordinator_yield&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(revision, yielded.id, yielded.run);
  }
};

}  // namespace bluebell

#endif  // BLUEBELL_KEYSPACE_COORDINATOR_CHANGE_H_
