// Messages by which a new coordinator makes sure that a former one has stopped.

#ifndef BLUEBELL_KEYSPACE_COORDINATOR_CHANGE_H_
#define BLUEBELL_KEYSPACE_COORDINATOR_CHANGE_H_

#include <cstdint>

namespace bluebell {

// The sender coordinates since the store's revision `revision`.
struct coordinator_claim {
  std::uint64_t revision = 0;

  friend bool operator==(const coordinator_claim&,
                         const coordinator_claim&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(revision);
  }
};

// The receiver of a claim sends no more orders about keys.
struct coordinator_yield {
  std::uint64_t revision = 0;

  friend bool operator==(const coordinator_yield&,
                         const coordinator_yield&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(revision);
  }
};

}  // namespace bluebell

#endif  // BLUEBELL_KEYSPACE_COORDINATOR_CHANGE_H_
