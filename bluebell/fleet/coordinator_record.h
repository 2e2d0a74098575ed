// A daemon in the coordinator's history: the present coordinator, or an earlier
// one that may still send orders about keys.

#ifndef BLUEBELL_FLEET_COORDINATOR_RECORD_H_
#define BLUEBELL_FLEET_COORDINATOR_RECORD_H_

#include <ostream>

#include "bluebell/core/ids.h"

namespace bluebell {

struct coordinator_record {
  daemon_instance daemon;
  // A revision of the store at which the process had announced itself. Zero
  // stands for the revision of the history's value, which isn't known before it
  // is written; the era is that of the write. Runs are random numbers, so only
  // an entry of the daemon that is newer than this shows that a later process
  // has taken its place.
  store_version announced_by;

  friend bool operator==(const coordinator_record&,
                         const coordinator_record&) = default;

  friend std::ostream& operator<<(std::ostream& out,
                                  const coordinator_record& v) {
    return out << v.daemon << '@' << v.announced_by;
  }
};

}  // namespace bluebell

#endif  // BLUEBELL_FLEET_COORDINATOR_RECORD_H_
