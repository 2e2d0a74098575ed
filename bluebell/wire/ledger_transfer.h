// The request ledger of an endpoint, sent by a dispatcher that stops to the
// dispatcher that replaces it. A ledger that is larger than one message is sent
// in several parts.

#ifndef BLUEBELL_WIRE_LEDGER_TRANSFER_H_
#define BLUEBELL_WIRE_LEDGER_TRANSFER_H_

#include <cstdint>
#include <vector>

#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"
#include "bluebell/dispatch/ledger_record.h"

namespace bluebell {

struct ledger_transfer {
  service_name service;
  endpoint_instance endpoint;
  std::vector<ledger_record> records;
  // The ledger has all requests with ids issued at this time or later.
  wall_instant complete_from;
  // The receiver uses `complete_from` only after the last part has arrived.
  bool last_part = true;

  friend bool operator==(const ledger_transfer&,
                         const ledger_transfer&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    std::int64_t complete_from_ns = complete_from.time_since_epoch().count();
    archive(service, endpoint, records, complete_from_ns, last_part);
    complete_from = wall_instant(duration(complete_from_ns));
  }
};

struct ledger_transfer_reply {
  endpoint_instance endpoint;
  // False if the receiver isn't the endpoint's dispatcher.
  bool adopted = false;

  friend bool operator==(const ledger_transfer_reply&,
                         const ledger_transfer_reply&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(endpoint, adopted);
  }
};

}  // namespace bluebell

#endif  // BLUEBELL_WIRE_LEDGER_TRANSFER_H_
