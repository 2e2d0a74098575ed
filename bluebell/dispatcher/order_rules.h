// Decides what follows after each step of an order to an endpoint: another
// attempt, waiting, or the end with an outcome. No I/O.
//
// An attempt counts as unproven from the moment before it is written until the
// endpoint proves that it did not run it. `not_run` is only possible without
// unproven attempts.
//
//   next_step next = AfterAttempt(progress, end, now, budget);
//   std::visit(overloaded{...}, next);

#ifndef BLUEBELL_DISPATCHER_ORDER_RULES_H_
#define BLUEBELL_DISPATCHER_ORDER_RULES_H_

#include <cstdint>
#include <string>
#include <variant>

#include "bluebell/core/request_outcome.h"
#include "bluebell/core/time.h"
#include "bluebell/dispatch/completion.h"
#include "bluebell/http/endpoint_protocol.h"

namespace bluebell {

class retry_budget;

struct order_progress {
  bool idempotent = false;
  instant deadline;
  std::uint32_t attempts = 0;
  // Written, and not proven not to have run.
  std::uint32_t unproven = 0;

  friend bool operator==(const order_progress&,
                         const order_progress&) = default;
};

// How one attempt went.

// A whole response arrived.
struct reply_read {
  order_reply reply;
  duration service_time{0};

  friend bool operator==(const reply_read&, const reply_read&) = default;
};

// No byte of the order was written.
struct not_written {
  std::string why;

  friend bool operator==(const not_written&, const not_written&) = default;
};

// This daemon may not write to the endpoint; no byte was written.
struct not_permitted {
  not_run why;

  friend bool operator==(const not_permitted&, const not_permitted&) = default;
};

// At least one byte was written and no whole response arrived.
struct reply_missing {
  unknown why;

  friend bool operator==(const reply_missing&, const reply_missing&) = default;
};

// The order was written and its connection has been silent for long.
struct gone_silent {
  friend bool operator==(const gone_silent&, const gone_silent&) = default;
};

struct deadline_passed {
  friend bool operator==(const deadline_passed&,
                         const deadline_passed&) = default;
};

// The endpoint took the order out of its queue before it ran.
struct cancelled_unrun {
  friend bool operator==(const cancelled_unrun&,
                         const cancelled_unrun&) = default;
};

using attempt_end = std::variant<reply_read,
                                 not_written,
                                 not_permitted,
                                 reply_missing,
                                 gone_silent,
                                 deadline_passed,
                                 cancelled_unrun>;

// What to do next.

// Send the order on a new connection, keeping its slot.
struct send_again {
  friend bool operator==(const send_again&, const send_again&) = default;
};

// Give back the slot and queue the order again: the endpoint shed it.
struct queue_again {
  friend bool operator==(const queue_again&, const queue_again&) = default;
};

struct keep_waiting {
  friend bool operator==(const keep_waiting&, const keep_waiting&) = default;
};

struct end_order {
  request_outcome outcome;
  completion how;
  // The endpoint may still run the order: ask it to give it up.
  bool cancel = false;

  friend bool operator==(const end_order&, const end_order&) = default;
};

using next_step =
    std::variant<send_again, queue_again, keep_waiting, end_order>;

// Attempts of one order at one endpoint, whatever the budget says.
inline constexpr std::uint32_t kMaxAttempts = 3;

// `progress` describes the order after the attempt: `unproven` no longer
// counts it if it proved not to have run.
next_step AfterAttempt(const order_progress& progress,
                       const attempt_end& end,
                       instant now,
                       retry_budget& budget);

}  // namespace bluebell

#endif  // BLUEBELL_DISPATCHER_ORDER_RULES_H_
