#include "bluebell/proxy/attempt_policy.h"

#include <catch2/catch.hpp>

namespace bluebell {
namespace {

const instant kNow = instant(seconds(1'000));

request_progress Progress(bool idempotent, std::uint32_t sent_attempts) {
  request_progress progress;
  progress.idempotent = idempotent;
  progress.max_attempts = 2;
  progress.sent_attempts = sent_attempts;
  progress.deadline = kNow + seconds(1);
  return progress;
}

TEST_CASE("a non-idempotent request that may have run is never sent again") {
  request_progress progress = Progress(false, 1);
  progress.may_have_run = true;
  CHECK(DecideAfterAttempt(progress, attempt_result::kLost, kNow) ==
        attempt_decision(fail_request{502}));
  CHECK(DecideAfterAttempt(progress, attempt_result::kUnconfirmed, kNow) ==
        attempt_decision(fail_request{502}));
  CHECK(DecideAfterAttempt(progress, attempt_result::kFailed, kNow) ==
        attempt_decision(relay_response()));
}

// Guards against callers that are told "not run" for a request that ran: an
// endpoint's 503, 429 or 408 was relayed though it didn't state that it had not
// run the request.
TEST_CASE("a refusal without the endpoint's statement promises nothing") {
  request_progress progress = Progress(false, 1);
  progress.may_have_run = true;
  CHECK(DecideAfterAttempt(progress, attempt_result::kUnprovenRefusal, kNow) ==
        attempt_decision(fail_request{502}));
  progress = Progress(true, 2);
  progress.may_have_run = true;
  CHECK(DecideAfterAttempt(progress, attempt_result::kUnprovenRefusal, kNow) ==
        attempt_decision(relay_response()));
}

TEST_CASE("a request that certainly did not run is sent again") {
  CHECK(DecideAfterAttempt(Progress(false, 1), attempt_result::kNotRun, kNow) ==
        attempt_decision(retry_request{true}));
  request_progress failed_connection = Progress(false, 0);
  failed_connection.unsent_attempts = 1;
  CHECK(DecideAfterAttempt(failed_connection, attempt_result::kUnsent, kNow) ==
        attempt_decision(retry_request{false}));
}

// Guards against a caller that is told "not run" for a request that runs: a
// copy of a rejection under the same id was taken for the response to the next
// attempt, which a keyed request makes at the same endpoint.
TEST_CASE("no endpoint gets a rejected non-idempotent attempt again") {
  request_progress progress = Progress(false, 1);
  progress.keyed = true;
  CHECK(DecideAfterAttempt(progress, attempt_result::kNotRun, kNow) ==
        attempt_decision(fail_request{503}));
  progress.idempotent = true;
  CHECK(DecideAfterAttempt(progress, attempt_result::kNotRun, kNow) ==
        attempt_decision(retry_request{true}));
}

TEST_CASE("status 503 is returned only for a request that did not run") {
  CHECK(DecideAfterAttempt(Progress(false, 2), attempt_result::kNotRun, kNow) ==
        attempt_decision(fail_request{503}));
  request_progress idempotent = Progress(true, 2);
  idempotent.may_have_run = true;
  CHECK(DecideAfterAttempt(idempotent, attempt_result::kNotRun, kNow) ==
        attempt_decision(fail_request{502}));
  CHECK(FinalStatus(idempotent, idempotent.deadline) == 504);
}

TEST_CASE("no request is sent to more endpoints than its route allows") {
  request_progress progress = Progress(true, 2);
  progress.may_have_run = true;
  CHECK(DecideAfterAttempt(progress, attempt_result::kLost, kNow) ==
        attempt_decision(fail_request{502}));
  CHECK(DecideAfterAttempt(progress, attempt_result::kFailed, kNow) ==
        attempt_decision(relay_response()));
}

TEST_CASE("a request ends after a bounded number of failed connections") {
  request_progress progress = Progress(true, 0);
  progress.unsent_attempts = 4;
  CHECK(DecideAfterAttempt(progress, attempt_result::kUnsent, kNow) ==
        attempt_decision(fail_request{503}));
}

// Guards against abandoning an attempt whose retry can only reach the same
// endpoint. A keyed lookup was abandoned after a second, got no slot at the
// key's only owner again and ended with status 502 although its work was nearly
// done.
TEST_CASE("an attempt is abandoned early only in favour of another endpoint") {
  request_progress keyed = Progress(true, 0);
  keyed.keyed = true;
  CHECK(MayAbandon(Progress(true, 0)));
  CHECK(!MayAbandon(keyed));
  CHECK(!MayAbandon(Progress(false, 0)));
  CHECK(!MayAbandon(Progress(true, 1)));
}

TEST_CASE("a request without time left is not attempted again") {
  request_progress progress = Progress(true, 1);
  progress.deadline = kNow + milliseconds(5);
  progress.may_have_run = true;
  CHECK(DecideAfterAttempt(progress, attempt_result::kLost, kNow) ==
        attempt_decision(fail_request{504}));
}

// Guards against "not run" for a request of which an earlier attempt may have
// run.
TEST_CASE("an attempt that may have run counts for good") {
  request_progress progress;
  progress = WithAttempt(progress, attempt_result::kUnsent);
  progress = WithAttempt(progress, attempt_result::kNotRun);
  CHECK(progress.unsent_attempts == 1);
  CHECK(progress.sent_attempts == 1);
  CHECK_FALSE(progress.may_have_run);
  progress = WithAttempt(progress, attempt_result::kLost);
  progress = WithAttempt(progress, attempt_result::kNotRun);
  CHECK(progress.sent_attempts == 3);
  CHECK(progress.may_have_run);
}

// Guards against an attempt that runs twice at one endpoint, before and after
// another endpoint owned its key.
TEST_CASE("an endpoint runs a keyed request under one assignment only") {
  const endpoint_instance owner{endpoint_id("i-1"), incarnation(1)};
  const endpoint_instance other{endpoint_id("i-2"), incarnation(1)};
  const epoch fence(5);
  const epoch later_fence(7);
  const request_progress unsent = WithKeyedAttempt(
      Progress(true, 0), attempt_result::kUnsent, {owner, fence});
  CHECK(MayRunAgain(unsent, {owner, later_fence}));
  const request_progress rejected = WithKeyedAttempt(
      Progress(true, 0), attempt_result::kNotRun, {owner, fence});
  CHECK(MayRunAgain(rejected, {owner, later_fence}));
  for (const attempt_result result :
       {attempt_result::kFailed, attempt_result::kLost,
        attempt_result::kUnconfirmed, attempt_result::kUnprovenRefusal}) {
    const request_progress ran =
        WithKeyedAttempt(Progress(true, 0), result, {owner, fence});
    CHECK(ran.may_have_run);
    CHECK(MayRunAgain(ran, {owner, fence}));
    CHECK(MayRunAgain(ran, {other, later_fence}));
    CHECK(!MayRunAgain(ran, {owner, later_fence}));
  }
}

// Failure: a request is refused because the range of its key was joined with a
// neighbouring one of the same owner, and has that one's fence since.
TEST_CASE("a joined range is still the same assignment") {
  const endpoint_instance owner{endpoint_id("i-1"), incarnation(1)};
  const epoch fence(5);
  const epoch table_fence(7);
  const request_progress ran = WithKeyedAttempt(
      Progress(true, 0), attempt_result::kLost, {owner, fence, table_fence});
  CHECK(MayRunAgain(ran, {owner, epoch(6), epoch(9)}));
  CHECK(MayRunAgain(ran, {owner, table_fence, epoch(9)}));
  // The key moved away and came back.
  CHECK(!MayRunAgain(ran, {owner, epoch(8), epoch(9)}));
  // A dispatcher with an earlier table.
  CHECK(!MayRunAgain(ran, {owner, epoch(4), epoch(6)}));
}

}  // namespace
}  // namespace bluebell
