#include "bluebell/core/time_text.h"

#include <chrono>

#include <catch2/catch.hpp>

namespace bluebell {
namespace {

TEST_CASE("a formatted time has leading zeros and milliseconds") {
  const wall_instant when(
      std::chrono::sys_days(std::chrono::year(2026) / 3 / 4) +
      std::chrono::hours(5) + std::chrono::minutes(6) + seconds(7) +
      milliseconds(8));
  CHECK(ToIso8601(when) == "2026-03-04T05:06:07.008Z");
}

}  // namespace
}  // namespace bluebell
