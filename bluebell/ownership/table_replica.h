// A daemon's copy of one placement table, with what proves that it is current.
//
//   table_replica replica(table);
//   if (replica.Adopt(newer, now)) { Publish(); }
//   replica.Prove(version, read_sent_at);

#ifndef BLUEBELL_OWNERSHIP_TABLE_REPLICA_H_
#define BLUEBELL_OWNERSHIP_TABLE_REPLICA_H_

#include <optional>
#include <utility>
#include <vector>

#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"
#include "bluebell/placement/placement_table.h"

namespace bluebell {

// How a table that arrived relates to the copy.
enum class adoption {
  kAdopted,
  kAlreadyKnown,
  kOlder,
  // Same version with another content: two writes made one version, which
  // compare-and-swap excludes.
  kForked,
};

class table_replica {
 public:
  explicit table_replica(placement_table initial);

  // Takes over a higher version and never a lower one.
  adoption Adopt(const placement_table& table, instant now);

  // Records that `version` was the newest one at the moment `at`. Ignored
  // unless it is the version of this copy.
  void Prove(table_version version, instant at);

  // Records that a version exists.
  void Hear(table_version version);

  const placement_table& table() const { return table_; }

  // When the newest proof for this version was valid.
  std::optional<instant> proven_at() const { return proven_at_; }

  // True if a higher version is known to exist.
  bool stale() const { return heard_ > table_.version(); }

  // When this daemon first held `version` or a later one. Nothing if it
  // doesn't hold such a version.
  std::optional<instant> HeldSince(table_version version) const;

 private:
  placement_table table_;
  std::optional<instant> proven_at_;
  table_version heard_;
  std::vector<std::pair<table_version, instant>> adoptions_;
};

}  // namespace bluebell

#endif  // BLUEBELL_OWNERSHIP_TABLE_REPLICA_H_
