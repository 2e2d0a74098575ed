#include "bluebell/proxy/attempt_result.h"

#include <catch2/catch.hpp>

namespace bluebell {
namespace {

exchange_result Answered(unsigned status,
                         bool not_run = false,
                         bool has_receipt = false) {
  exchange_answered answered;
  answered.response.result(status);
  answered.reply_info.not_run = not_run;
  answered.reply_info.has_receipt = has_receipt;
  return answered;
}

// Guards against callers that are told "not run" for a request that ran: an
// endpoint's 503, 429 or 408 was relayed though it didn't state that it had not
// run the request.
TEST_CASE("a status that promises not run needs the endpoint's statement") {
  const unsigned status = GENERATE(408U, 421U, 429U, 503U);
  const bool has_receipt = GENERATE(false, true);
  CHECK(ResultOf(Answered(status, false, has_receipt)) ==
        attempt_result::kUnprovenRefusal);
  CHECK(ResultOf(Answered(status, true)) == attempt_result::kNotRun);
}

TEST_CASE("other responses are told apart by status and receipt") {
  CHECK(ResultOf(Answered(200, false, true)) == attempt_result::kAnswered);
  CHECK(ResultOf(Answered(200)) == attempt_result::kUnconfirmed);
  CHECK(ResultOf(Answered(404)) == attempt_result::kAnswered);
  CHECK(ResultOf(Answered(500)) == attempt_result::kFailed);
  CHECK(ResultOf(Answered(504)) == attempt_result::kFailed);
}

}  // namespace
}  // namespace bluebell
