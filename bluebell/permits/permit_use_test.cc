#include "bluebell/permits/permit_use.h"

#include <catch2/catch.hpp>

namespace bluebell {
namespace {

// Guards against a permit that is used after its bound because the message that
// grants it was delayed, or because the clocks of holder and dispatcher differ.
TEST_CASE("the use of a permit is bounded from its issue") {
  const instant sent = instant(seconds(70)) + microseconds(1'900);
  permit_request request;
  request.sent_at_ms = ToSentAtMs(sent);
  const duration held = microseconds(340'700);
  permit_granted granted;
  granted.issued_at_ms = IssuedAtMs(request, held);
  CHECK(!UseBy(granted));
  granted.use_within_ms = 200;
  REQUIRE(UseBy(granted));
  // Rounding shortens the bound, by less than two milliseconds.
  const instant latest = sent + held + milliseconds(200);
  CHECK(*UseBy(granted) <= latest);
  CHECK(*UseBy(granted) > latest - milliseconds(2));
}

}  // namespace
}  // namespace bluebell
