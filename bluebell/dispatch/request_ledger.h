// Records the requests sent to one endpoint by their ids, so that no request
// that isn't idempotent runs twice.
//
// A new ledger has no record of the requests that an earlier dispatcher sent.
// Requests whose ids were issued before `complete_from` and that aren't on
// record count as possibly run.
//
//   request_ledger ledger(limits, complete_from);
//   ledger_verdict verdict = ledger.Admit(id, idempotent, wall_now);

#ifndef BLUEBELL_DISPATCH_REQUEST_LEDGER_H_
#define BLUEBELL_DISPATCH_REQUEST_LEDGER_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

#include "bluebell/core/request_id.h"
#include "bluebell/core/time.h"
#include "bluebell/dispatch/ledger_limits.h"
#include "bluebell/dispatch/ledger_record.h"
#include "bluebell/dispatch/ledger_verdict.h"

namespace bluebell {

class request_ledger {
 public:
  request_ledger(const ledger_limits& limits, wall_instant complete_from);
  request_ledger(request_ledger&& other) noexcept;
  request_ledger& operator=(request_ledger&& other) noexcept;
  request_ledger(const request_ledger&) = delete;
  request_ledger& operator=(const request_ledger&) = delete;
  ~request_ledger();

  // Records the arrival of a request, which may run only if the result is
  // `first_arrival`.
  // Idempotent requests are never refused as `may_have_run`.
  ledger_verdict Admit(const request_id& id, bool idempotent, wall_instant now);

  // Records how the request ended. After a `not_run` outcome a repeat of the
  // request may run, except after not_run{kWithdrawn}: a copy of the request
  // that is still in transit must not run after its withdrawal was reported.
  void End(const request_id& id, const request_outcome& outcome);

  // The record of a request, for a daemon that asks after its link was lost. No
  // value if the request isn't on record. Changes nothing.
  std::optional<ledger_record> Find(const request_id& id) const;

  // Withdraws a request that has not arrived yet: a later Admit() of it returns
  // `already_ended` with not_run{kWithdrawn}. Returns the record of the
  // request: withdrawn; no outcome if it is queued or running, in which case
  // the caller removes it from the queue and calls End(); the outcome with
  // which it ended; or unknown{kRepeatOfForgottenRequest} if the request was
  // issued before the records are complete and isn't on record.
  ledger_record Withdraw(const request_id& id);

  // Export() returns all records, for the dispatcher that takes over, which
  // passes them to Adopt(). The former dispatcher admits no requests after its
  // export. Adopt() moves `complete_from` back to that of the former ledger,
  // but not before the time up to which this ledger has dropped records. A
  // record without an outcome counts as possibly run until a later Adopt() has
  // its outcome.
  std::vector<ledger_record> Export() const;
  void Adopt(const std::vector<ledger_record>& records,
             wall_instant complete_from);

  // Requests issued from this time on are on record if they may have run.
  wall_instant complete_from() const;
  std::size_t size() const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace bluebell

#endif  // BLUEBELL_DISPATCH_REQUEST_LEDGER_H_
