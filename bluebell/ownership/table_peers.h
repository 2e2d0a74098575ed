// What a daemon knows of its peers' copies of one placement table: who
// supports its version, and who has acknowledged which version.
//
//   peers.Acknowledge(peer, version, now);
//   peers.Support(peer, version, pinged_at);

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
  // Records a peer's version. `received_at`: when the message came, which is
  // no earlier than the acknowledgement. `pinged_at`: when the newest ping that
  // the message echoes was sent, which is no later than the message was
  // written.
  void Record(const daemon_instance& peer,
              table_version version,
              instant received_at,
              std::optional<instant> pinged_at);

  // Since when `peer` is known to hold `version` or a later one, or to have
  // ended. A daemon id is used again only at the same address, and a process
  // holds its address exclusively, so a later run shows that the earlier ones
  // have ended.
  std::optional<instant> AcknowledgedAt(const daemon_instance& peer,
                                        table_version version) const;

  // The latest moment at which `peer` is known to have held `version` or an
  // earlier one.
  std::optional<instant> SupportedAt(const daemon_instance& peer,
                                     table_version version) const;

  // Records that `peer` promised never to renew a lease again.
  void Retire(const daemon_instance& peer, instant received_at);

 private:
  std::optional<instant> HeldAt(const daemon_instance& peer,
                                table_version version) const;

  struct record {
    std::vector<std::pair<table_version, instant>> acknowledged;
    table_version version;
    std::optional<instant> pinged_at;
  };

  std::map<daemon_instance, record> records_;
};

}  // namespace bluebell

#endif  // BLUEBELL_OWNERSHIP_TABLE_PEERS_H_
