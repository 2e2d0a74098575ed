#include "bluebell/proxy/attempt_policy.h"

#include <catch2/catch.hpp>

namespace bluebell {
namespace {

const instant kNow = instant(seconds(1'000));

request_progress Progress(bool idempotent, std::uint32_t sent) {
  request_progress progress;
  progress.idempotent = idempotent;
  progress.max_attempts = 2;
  progress.sent = sent;
  progress.deadline = kNow + seconds(1);
  return progress;
}

TEST_CASE("a non-idempotent request that may have run is never sent again") {
  request_progress progress = Progress(false, 1);
  progress.may_have_run = true;
  CHECK(DecideAfter(progress, attempt_result::kLost, kNow) ==
        attempt_decision(give_up{502}));
  CHECK(DecideAfter(progress, attempt_result::kUnvouched, kNow) ==
        attempt_decision(give_up{502}));
  CHECK(DecideAfter(progress, attempt_result::kFailed, kNow) ==
        attempt_decision(pass_response()));
}

TEST_CASE("a request that has surely not run is sent again") {
  CHECK(DecideAfter(Progress(false, 1), attempt_result::kNotRun, kNow) ==
        attempt_decision(try_again{true}));
  request_progress unsent = Progress(false, 0);
  unsent.unsent = 1;
  CHECK(DecideAfter(unsent, attempt_result::kUnsent, kNow) ==
        attempt_decision(try_again{false}));
}

TEST_CASE("503 is said only of a request that has not run") {
  CHECK(DecideAfter(Progress(false, 2), attempt_result::kNotRun, kNow) ==
        attempt_decision(give_up{503}));
  request_progress idempotent = Progress(true, 2);
  idempotent.may_have_run = true;
  CHECK(DecideAfter(idempotent, attempt_result::kNotRun, kNow) ==
        attempt_decision(give_up{502}));
  CHECK(FinalStatus(idempotent, idempotent.deadline) == 504);
}

TEST_CASE("no request is sent to more endpoints than its route allows") {
  request_progress progress = Progress(true, 2);
  progress.may_have_run = true;
  CHECK(DecideAfter(progress, attempt_result::kLost, kNow) ==
        attempt_decision(give_up{502}));
  CHECK(DecideAfter(progress, attempt_result::kFailed, kNow) ==
        attempt_decision(pass_response()));
}

TEST_CASE("connections that fail don't keep a request for ever") {
  request_progress progress = Progress(true, 0);
  progress.unsent = 4;
  CHECK(DecideAfter(progress, attempt_result::kUnsent, kNow) ==
        attempt_decision(give_up{503}));
}

// The pattern: a lookup was given up after a second for its key's only owner,
// got no slot there again and ended as 502, while its work had nearly been
// done.
TEST_CASE("work is given up early only for another endpoint") {
  CHECK(MayAbandon(Progress(true, 0), false));
  CHECK(!MayAbandon(Progress(true, 0), true));
  CHECK(!MayAbandon(Progress(false, 0), false));
  CHECK(!MayAbandon(Progress(true, 1), false));
}

TEST_CASE("nothing is tried without time left") {
  request_progress progress = Progress(true, 1);
  progress.deadline = kNow + milliseconds(5);
  progress.may_have_run = true;
  CHECK(DecideAfter(progress, attempt_result::kLost, kNow) ==
        attempt_decision(give_up{504}));
}

}  // namespace
}  // namespace bluebell
