// Decides what follows the event that an attempt of an order has reported:
// another attempt, further waiting, or the end of the order with an outcome.
// Pure functions without I/O, except that they take retries from a
// retry_budget.
//
// An attempt is unproven from immediately before it is written until it is
// proven that the endpoint didn't run it. The outcome `not_run` is possible
// only if no attempt is unproven.
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

// The state of an order across its attempts.
struct order_progress {
  bool idempotent = false;
  instant deadline;
  // Attempts that were begun.
  std::uint32_t attempts = 0;
  // Attempts that are unproven.
  std::uint32_t unproven = 0;

  friend bool operator==(const order_progress&,
                         const order_progress&) = default;
};

// The events that an attempt reports. All but reply_overdue end the attempt.

// A complete response arrived.
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

// At least one byte was written, and no complete response arrived.
struct reply_missing {
  unknown why;

  friend bool operator==(const reply_missing&, const reply_missing&) = default;
};

// The order was written, and no response has arrived within the time limit for
// silence. The attempt goes on.
struct reply_overdue {
  friend bool operator==(const reply_overdue&, const reply_overdue&) = default;
};

// The request's deadline passed before the attempt ended.
struct deadline_passed {
  friend bool operator==(const deadline_passed&,
                         const deadline_passed&) = default;
};

// The endpoint removed the order from its queue before it ran.
struct cancelled_before_run {
  friend bool operator==(const cancelled_before_run&,
                         const cancelled_before_run&) = default;
};

using attempt_end = std::variant<reply_read,
                                 not_written,
                                 not_permitted,
                                 reply_missing,
                                 reply_overdue,
                                 deadline_passed,
                                 cancelled_before_run>;

// The next step of the order.

// Send the order again on a new connection, in the same slot.
struct send_again {
  friend bool operator==(const send_again&, const send_again&) = default;
};

// Release the slot and queue the order again, because the endpoint shed it.
struct requeue {
  friend bool operator==(const requeue&, const requeue&) = default;
};

// Wait for the next event of the attempt.
struct keep_waiting {
  friend bool operator==(const keep_waiting&, const keep_waiting&) = default;
};

// End the order with `outcome`, and its slot with `how`.
struct end_order {
  request_outcome outcome;
  completion how;
  // The endpoint may still run the order and is asked to cancel it.
  bool cancel = false;

  friend bool operator==(const end_order&, const end_order&) = default;
};

using next_step = std::variant<send_again, requeue, keep_waiting, end_order>;

// The limit of attempts of one order at one endpoint, in addition to the limit
// by the retry budget.
inline constexpr std::uint32_t kMaxAttempts = 3;

// `progress` is the state after the event `end`: if this proves that the
// attempt didn't run, `unproven` no longer counts the attempt. Takes a retry
// from `budget` if the order is to be sent again.
next_step AfterAttempt(const order_progress& progress,
                       const attempt_end& end,
                       instant now,
                       retry_budget& budget);

}  // namespace bluebell

#endif  // BLUEBELL_DISPATCHER_ORDER_RULES_H_
