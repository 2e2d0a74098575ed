// A daemon's copy of one placement table, with the time of the newest proof
// that it is current.
//
//   table_replica replica(table);
//   if (replica.Adopt(newer, now) == adoption::kAdopted) { Publish(); }
//   replica.RecordProof(version, read_sent_at);

#ifndef BLUEBELL_OWNERSHIP_TABLE_REPLICA_H_
#define BLUEBELL_OWNERSHIP_TABLE_REPLICA_H_

#include <optional>
#include <utility>
#include <vector>

#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"
#include "bluebell/placement/placement_table.h"

namespace bluebell {

// The result of offering a table to the copy.
enum class adoption {
  kAdopted,
  kAlreadyKnown,
  kOlder,
  // Same version with different content: two writes have made one version,
  // which compare-and-swap in the store is meant to prevent.
  kForked,
};

class table_replica {
 public:
  explicit table_replica(placement_table initial);

  // Replaces the copy if `table` has a higher version. The proof of the earlier
  // version is dropped.
  adoption Adopt(const placement_table& table, instant now);

  // Records that `version` was the newest one at the time `at`. Ignored unless
  // it is the version of this copy and the proof is newer than the last one.
  void RecordProof(table_version version, instant at);

  // Records that `version` exists, so that an older copy counts as stale.
  void ObserveVersion(table_version version);

  const placement_table& table() const { return table_; }

  // The latest time at which this version was proved current. Nothing without
  // a proof.
  std::optional<instant> proven_at() const { return proven_at_; }

  // True if a higher version is known to exist.
  bool stale() const { return highest_observed_ > table_.version(); }

  // When this daemon first adopted `version` or a later one. Nothing if it has
  // adopted no such version.
  std::optional<instant> AdoptedAt(table_version version) const;

 private:
  placement_table table_;
  std::optional<instant> proven_at_;
  table_version highest_observed_;
  std::vector<std::pair<table_version, instant>> adoptions_;
};

}  // namespace bluebell

#endif  // BLUEBELL_OWNERSHIP_TABLE_REPLICA_H_
