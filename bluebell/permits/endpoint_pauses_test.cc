#include "bluebell/permits/endpoint_pauses.h"

#include <catch2/catch.hpp>

namespace bluebell {
namespace {

const instant kStart = instant(seconds(1'000));
const service_name kService("tracker");
const endpoint_instance kEndpoint{endpoint_id("a"), incarnation(1)};

TEST_CASE("an endpoint is paused until the stated time") {
  endpoint_pauses pauses;
  pauses.Record(kService, kEndpoint, kStart + seconds(2));
  CHECK(pauses.PausedUntil(kService, kEndpoint, kStart) == kStart + seconds(2));
  CHECK(pauses.PausedEndpoints(kService, kStart) == std::vector{kEndpoint});
  CHECK(!pauses.PausedUntil(kService, kEndpoint, kStart + seconds(2)));
  CHECK(pauses.PausedEndpoints(kService, kStart + seconds(2)).empty());
}

// Guards against more requests than the endpoint asked for: a shorter pause
// that is stated later must not end a longer one.
TEST_CASE("a shorter pause doesn't end a longer one") {
  endpoint_pauses pauses;
  pauses.Record(kService, kEndpoint, kStart + seconds(5));
  pauses.Record(kService, kEndpoint, kStart + seconds(1));
  CHECK(pauses.PausedUntil(kService, kEndpoint, kStart + seconds(4)));
}

TEST_CASE("a pause binds neither a later process nor another service") {
  endpoint_pauses pauses;
  pauses.Record(kService, kEndpoint, kStart + seconds(5));
  CHECK(!pauses.PausedUntil(kService, {endpoint_id("a"), incarnation(2)},
                            kStart));
  CHECK(!pauses.PausedUntil(service_name("booker"), kEndpoint, kStart));
  CHECK(pauses.PausedEndpoints(service_name("booker"), kStart).empty());
}

}  // namespace
}  // namespace bluebell
