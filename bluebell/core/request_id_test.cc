#include "bluebell/core/request_id.h"

#include <catch2/catch.hpp>

namespace bluebell {
namespace {

// Without the issue time, a dispatcher can't tell how old a repeated request
// is.
TEST_CASE("the text of a request id keeps its issue time") {
  const wall_instant issued{milliseconds(1'764'800'000'123)};
  const request_id id = request_id::Make(issued, {0x123456789, 0xABCDEF});
  CHECK(id.issued_at() == issued);
  const result<request_id> parsed = request_id::Parse(id.ToString());
  REQUIRE(parsed);
  CHECK(parsed.value() == id);
}

TEST_CASE("a malformed request id is rejected and not read as another id") {
  const std::string text = GENERATE("", "01931e0c-3c1a-4c1e-8f00-0123456789ab",
                                    "01931e0c-3c1a-7c1e-cf00-0123456789ab",
                                    "01931e0c-3c1a-7c1e-8f00-0123456789a",
                                    "01931e0c-3c1a-7c1e-8f00-0123456789ag",
                                    "01931e0c03c1a-7c1e-8f00-0123456789ab");
  CHECK_FALSE(request_id::Parse(text));
}

}  // namespace
}  // namespace bluebell
