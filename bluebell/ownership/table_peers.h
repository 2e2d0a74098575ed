// What a daemon knows about its peers' copies of one placement table: when each
// peer acknowledged a version, and until when it is known to have supported it.
//
//   peers.Record(peer, version, received_at, pinged_at);
//   std::optional<instant> at = peers.SupportedAt(peer, version);

#ifndef BLUEBELL_OWNERSHIP_TABLE_PEERS_H_
#define BLUEBELL_OWNERSHIP_TABLE_PEERS_H_

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"

namespace bluebell {

class table_peers {
 public:
  // Records the version that a peer's message reports. `received_at` is when
  // the message arrived, an upper bound on the time of the acknowledgement.
  // `pinged_at` is when the ping that the message echoes was sent, a lower
  // bound on when the message was written. Reports of a lower version than
  // before are ignored.
  void Record(const daemon_instance& peer,
              table_version version,
              instant received_at,
              std::optional<instant> pinged_at);

  // The earliest time at which `peer` is known to have had `version` or a later
  // one, or to have ended. A daemon id is reused only at the same address, and
  // only one process at a time can bind an address, so a later run of the id
  // shows that the earlier ones have ended.
  std::optional<instant> AcknowledgedAt(const daemon_instance& peer,
                                        table_version version) const;

  // The latest time at which `peer` is known to have had `version` or an
  // earlier one. Nothing if that isn't known or it has reported a later one.
  std::optional<instant> SupportedAt(const daemon_instance& peer,
                                     table_version version) const;

  // Records that `peer` is leaving and never renews a lease again.
  void Retire(const daemon_instance& peer, instant received_at);

 private:
  // When the first report of `version` or a later one arrived.
  std::optional<instant> ReportedAt(const daemon_instance& peer,
                                    table_version version) const;

  struct peer_record {
    // Each reported version with the arrival of its first report, ascending.
    std::vector<std::pair<table_version, instant>> acknowledged;
    // The latest reported version.
    table_version version;
    // When the latest ping that a report of `version` echoes was sent.
    std::optional<instant> pinged_at;
  };

  std::map<daemon_instance, peer_record> records_;
};

}  // namespace bluebell

#endif  // BLUEBELL_OWNERSHIP_TABLE_PEERS_H_
