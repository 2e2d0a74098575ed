#include "bluebell/proxy/attempt_result.h"

#include <catch2/catch.hpp>

namespace bluebell {
namespace {

exchange_result Answered(unsigned status,
                         bool not_run = false,
                         bool has_receipt = false,
                         response_match match = response_match::kNamed) {
  exchange_answered answered;
  answered.response.result(status);
  answered.reply_info.not_run = not_run;
  answered.reply_info.has_receipt = has_receipt;
  answered.match = match;
  return answered;
}

// Guards against callers that are told "not run" for a request that ran: an
// endpoint's 503, 429 or 408 was relayed though it didn't state that it had not
// run the request.
TEST_CASE("a status that promises not run needs the endpoint's statement") {
  const unsigned status = GENERATE(408U, 421U, 429U, 503U);
  const bool has_receipt = GENERATE(false, true);
  const bool idempotent = GENERATE(false, true);
  CHECK(ResultOf(Answered(status, false, has_receipt), idempotent) ==
        attempt_result::kUnprovenRefusal);
  CHECK(ResultOf(Answered(status, true), idempotent) ==
        attempt_result::kNotRun);
}

TEST_CASE("other responses are told apart by status and receipt") {
  CHECK(ResultOf(Answered(200, false, true), false) ==
        attempt_result::kAnswered);
  CHECK(ResultOf(Answered(200), false) == attempt_result::kUnconfirmed);
  CHECK(ResultOf(Answered(404), false) == attempt_result::kAnswered);
  CHECK(ResultOf(Answered(500), false) == attempt_result::kFailed);
  CHECK(ResultOf(Answered(504), false) == attempt_result::kFailed);
}

// Guards against a request that runs twice, or after its caller was told that
// it had not run: bytes that an endpoint had sent after an earlier response
// were taken for the rejection of the next request on the connection.
TEST_CASE("a rejection that doesn't name the attempt proves nothing") {
  const auto rejection = [](response_match match) {
    return Answered(503, true, false, match);
  };
  CHECK(ResultOf(rejection(response_match::kUnnamed), false) ==
        attempt_result::kUnconfirmed);
  CHECK(ResultOf(rejection(response_match::kUnnamed), true) ==
        attempt_result::kNotRun);
  CHECK(ResultOf(rejection(response_match::kNamed), false) ==
        attempt_result::kNotRun);
  CHECK(ResultOf(rejection(response_match::kFirst), false) ==
        attempt_result::kUnconfirmed);
}

// Guards against endpoints that are taken out of service because this daemon
// has no memory for their responses.
TEST_CASE("a response without memory isn't the endpoint's failure") {
  const auto outcome = [](errc code) {
    return OutcomeOf(exchange_lost{error(code, step::kReadReply, "i-1", "")},
                     attempt_result::kLost);
  };
  CHECK(outcome(errc::kTooLarge) == permit_outcome::kAbandoned);
  CHECK(outcome(errc::kConnectionLost) == permit_outcome::kNoResponse);
  CHECK(outcome(errc::kTimeout) == permit_outcome::kNoResponse);
}

// Guards against a caller that gets an answer of another request.
TEST_CASE("a response that nothing ties to the attempt is never relayed") {
  const unsigned status = GENERATE(200U, 404U, 500U, 503U);
  const bool has_receipt = GENERATE(false, true);
  const bool idempotent = GENERATE(false, true);
  CHECK(ResultOf(Answered(status, false, has_receipt, response_match::kUnnamed),
                 idempotent) == attempt_result::kUnconfirmed);
}

}  // namespace
}  // namespace bluebell
