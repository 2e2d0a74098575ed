// The result of looking up an arriving request in the request ledger.

#ifndef BLUEBELL_DISPATCH_LEDGER_VERDICT_H_
#define BLUEBELL_DISPATCH_LEDGER_VERDICT_H_

#include <variant>

#include "bluebell/core/request_outcome.h"

namespace bluebell {

// The id is new: the request may run.
struct first_arrival {
  friend bool operator==(const first_arrival&, const first_arrival&) = default;
};

// The same request is queued or running; both get the same outcome.
struct already_running {
  friend bool operator==(const already_running&,
                         const already_running&) = default;
};

// The request has ended before, with `outcome`.
struct already_ended {
  request_outcome outcome;

  friend bool operator==(const already_ended&, const already_ended&) = default;
};

// The request may have run: it was issued before the ledger's records are
// complete, or its record was dropped. It must not run.
struct may_have_run {
  friend bool operator==(const may_have_run&, const may_have_run&) = default;
};

// The id was issued further in the future than the clocks of callers may
// differ.
struct issued_in_future {
  friend bool operator==(const issued_in_future&,
                         const issued_in_future&) = default;
};

using ledger_verdict = std::variant<first_arrival,
                                    already_running,
                                    already_ended,
                                    may_have_run,
                                    issued_in_future>;

}  // namespace bluebell

#endif  // BLUEBELL_DISPATCH_LEDGER_VERDICT_H_
