#include "bluebell/core/byte_reservation.h"

#include <memory>
#include <utility>

#include <catch2/catch.hpp>

#include "bluebell/core/byte_budget.h"

namespace bluebell {
namespace {

// Guards against memory that grows with the number of exchanges.
TEST_CASE("reservations together stay within the budget") {
  const auto budget = std::make_shared<byte_budget>(100);
  byte_reservation first(budget);
  byte_reservation second(budget);
  CHECK(first.GrowTo(60));
  CHECK(!second.GrowTo(41));
  CHECK(second.bytes() == 0);
  CHECK(second.GrowTo(40));
  CHECK(first.GrowTo(10));
  CHECK(budget->used() == 100);
}

// Guards against large reservations that leave nothing to small ones.
TEST_CASE("a reservation leaves the reserve to others") {
  const auto budget = std::make_shared<byte_budget>(100);
  byte_reservation large(budget);
  byte_reservation small(budget);
  CHECK_FALSE(large.GrowTo(91, 10));
  CHECK(large.GrowTo(90, 10));
  CHECK_FALSE(large.GrowTo(91, 10));
  CHECK(small.GrowTo(10));
  CHECK_FALSE(small.GrowTo(11, 200));
  CHECK(budget->used() == 100);
}

// Guards against bytes that are counted twice, or never given back.
TEST_CASE("a reservation gives its bytes back once") {
  const auto budget = std::make_shared<byte_budget>(100);
  {
    byte_reservation first(budget);
    REQUIRE(first.GrowTo(60));
    byte_reservation second(std::move(first));
    CHECK(budget->used() == 60);
    byte_reservation third;
    third = std::move(second);
    CHECK(budget->used() == 60);
  }
  CHECK(budget->used() == 0);
}

TEST_CASE("a reservation without a budget has no limit") {
  byte_reservation unlimited;
  CHECK(unlimited.GrowTo(1U << 30U));
}

}  // namespace
}  // namespace bluebell
