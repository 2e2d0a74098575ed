// Remembers the requests sent to one endpoint by their ids, so that none that
// isn't idempotent runs twice.
//
// A ledger that starts empty can't know what an earlier dispatcher sent. It
// treats ids issued before `complete_from` as possibly run.
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

  // Records the arrival of a request. Only after `first_arrival` may it run.
  // Idempotent requests are never refused as `may_have_run`.
  ledger_verdict Admit(const request_id& id, bool idempotent, wall_instant now);

  // Records how the request ended. A `not_run` outcome frees the id: a repeat
  // may run. Except not_run{kWithdrawn}, which stays: a copy of the request
  // that is still under way must not run after its withdrawal was reported.
  void End(const request_id& id, const request_outcome& outcome);

  // How the request stands, for a daemon that asks after a lost link. Empty if
  // the ledger holds no record of it. Unlike Admit, records nothing.
  std::optional<ledger_record> Find(const request_id& id) const;

  // Makes a request that has not arrived yet refusable for good: a later Admit
  // of it answers `already_ended` with not_run{kWithdrawn}. Returns how the
  // request stands then: withdrawn; queued or running (no outcome; take it out
  // of the queue and call End); ended; or, if the ledger can't know whether it
  // arrived before, unknown{kRepeatOfForgottenRequest}.
  ledger_record Withdraw(const request_id& id);

  // All records, for the dispatcher that takes over, and their adoption there.
  // The former dispatcher admits nothing after its export. Adopting moves
  // `complete_from` back to that of the former ledger, as far as this one has
  // dropped nothing since. A record without outcome counts as possibly run
  // until a later Adopt brings its outcome.
  std::vector<ledger_record> Export() const;
  void Adopt(const std::vector<ledger_record>& records,
             wall_instant complete_from);

  wall_instant complete_from() const;
  std::size_t size() const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace bluebell

#endif  // BLUEBELL_DISPATCH_REQUEST_LEDGER_H_
