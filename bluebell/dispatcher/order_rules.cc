#include "bluebell/dispatcher/order_rules.h"

#include <utility>

#include "bluebell/core/overloaded.h"
#include "bluebell/dispatch/retry_budget.h"

namespace bluebell {

namespace {

bool MaySendAgain(const order_progress& progress,
                  instant now,
                  retry_budget& budget) {
  return progress.attempts < kMaxAttempts && now < progress.deadline &&
         (progress.idempotent || progress.unproven == 0) &&
         budget.TryRetry(now);
}

// Ends the order with `not_run` if no attempt is unproven, otherwise with
// `unknown`, because an earlier attempt may have run.
end_order EndNotRun(const order_progress& progress,
                    not_run why,
                    completion how) {
  if (progress.unproven > 0) {
    return {unknown{unknown_reason::kConnectionLost,
                    "an earlier attempt may have run; then: " + why.detail},
            how, true};
  }
  return {std::move(why), how, false};
}

next_step AfterReply(const order_progress& progress,
                     const reply_read& end,
                     instant now,
                     retry_budget& budget) {
  const bool was_shed = end.reply.refusal == order_refusal::kOverloaded;
  if (was_shed && MaySendAgain(progress, now, budget)) {
    return requeue{};
  }
  if (end.reply.refusal) {
    const completion how = was_shed ? completion(shed{}) : failed{};
    return EndNotRun(progress, std::get<not_run>(end.reply.outcome), how);
  }
  if (KindOf(end.reply.outcome) == outcome_kind::kUnknown) {
    return end_order{end.reply.outcome, failed{}, false};
  }
  return end_order{end.reply.outcome, completed{end.service_time}, false};
}

next_step AfterNotWritten(const order_progress& progress,
                          const not_written& end,
                          instant now,
                          retry_budget& budget) {
  if (MaySendAgain(progress, now, budget)) {
    return send_again{};
  }
  return EndNotRun(
      progress,
      not_run{not_run_reason::kEndpointUnreachable, end.why, milliseconds(0)},
      failed{});
}

next_step AfterReplyMissing(const order_progress& progress,
                            const reply_missing& end,
                            instant now,
                            retry_budget& budget) {
  if (progress.idempotent && MaySendAgain(progress, now, budget)) {
    return send_again{};
  }
  return end_order{end.why, failed{}, true};
}

next_step AfterDeadline(const order_progress& progress) {
  if (progress.unproven > 0) {
    return end_order{unknown{unknown_reason::kNoAnswerInTime,
                             "no answer before the deadline"},
                     failed{}, true};
  }
  return end_order{not_run{not_run_reason::kDeadlineExpired,
                           "the deadline passed before the order was written",
                           milliseconds(0)},
                   failed{}, false};
}

}  // namespace

next_step AfterAttempt(const order_progress& progress,
                       const attempt_end& end,
                       instant now,
                       retry_budget& budget) {
  return std::visit(
      overloaded{
          [&](const reply_read& v) {
            return AfterReply(progress, v, now, budget);
          },
          [&](const not_written& v) {
            return AfterNotWritten(progress, v, now, budget);
          },
          [&](const not_permitted& v) {
            return next_step(EndNotRun(progress, v.why, failed{}));
          },
          [&](const reply_missing& v) {
            return AfterReplyMissing(progress, v, now, budget);
          },
          [&](const reply_overdue&) -> next_step {
            if (progress.idempotent && MaySendAgain(progress, now, budget)) {
              return send_again{};
            }
            return keep_waiting{};
          },
          [&](const deadline_passed&) { return AfterDeadline(progress); },
          [&](const cancelled_before_run&) {
            return next_step(
                EndNotRun(progress,
                          not_run{not_run_reason::kWithdrawn,
                                  "given up before it ran", milliseconds(0)},
                          failed{}));
          }},
      end);
}

}  // namespace bluebell
