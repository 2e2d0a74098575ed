// The record of one request in the ledger, in the form in which it is
// transferred to another dispatcher.

#ifndef BLUEBELL_DISPATCH_LEDGER_RECORD_H_
#define BLUEBELL_DISPATCH_LEDGER_RECORD_H_

#include <optional>

#include "bluebell/core/request_id.h"
#include "bluebell/core/request_outcome.h"

namespace bluebell {

struct ledger_record {
  request_id id;
  // Empty while the request is queued or running.
  std::optional<request_outcome> outcome;

  friend bool operator==(const ledger_record&, const ledger_record&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_DISPATCH_LEDGER_RECORD_H_
