// Endpoints that leave while daemons are cut off from the store.

#include <filesystem>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "bluebell/core/boot_clock.h"
#include "testing/gateway/gateway_world.h"
#include "testing/gateway/promise_check.h"
#include "testing/proxy_fault.h"

namespace bluebell {
namespace {

constexpr std::uint16_t kFirstPort = 20'000;
constexpr std::size_t kKeyedEndpoints = 2;
constexpr std::size_t kPlainEndpoints = 6;
// Longer than the time after which all machines count as in touch.
constexpr milliseconds kAfterCut{4'500};

void SetStoreLinks(gateway_world& world, const proxy_fault& fault) {
  for (std::size_t i = 0; i < world.gateways(); ++i) {
    world.SetLinkFault("store-" + std::to_string(i), fault, true);
  }
}

// Failure: daemons that were cut off notice the end of the cut up to 2 s late,
// and then use endpoints that left meanwhile for 2 s more, since their entries
// might have expired in an outage of the store.
TEST_CASE("an endpoint that left during a cut is left alone 3 s after it") {
  gateway_world_options options;
  options.seed = 1;
  options.program = BLUEBELL_GATEWAY_PROGRAM;
  options.folder =
      (std::filesystem::temp_directory_path() / "bluebell-departure-in-cut")
          .string();
  options.first_port = kFirstPort;
  options.keyed_endpoints = kKeyedEndpoints;
  options.plain_endpoints = kPlainEndpoints;
  auto made = gateway_world::Make(options);
  REQUIRE(made);
  gateway_world& world = *made.value();
  world.RunFor(milliseconds(2'500));
  // With a renewal every 2 s during an outage, one of the cuts ends right after
  // a renewal that was lost. The lengths differ by half of that period.
  for (const milliseconds cut : {milliseconds(4'000), milliseconds(5'000)}) {
    const instant begin = BootNow();
    SetStoreLinks(world, lose_bytes{true, true});
    world.RunFor(milliseconds(500));
    // One of each plain service.
    world.UnlistEndpoint(kKeyedEndpoints);
    world.UnlistEndpoint(kKeyedEndpoints + 1);
    world.RunFor(cut - milliseconds(500));
    SetStoreLinks(world, pass_all());
    world.record().disturbances.push_back({begin, BootNow()});
    world.RunFor(kAfterCut);
    for (std::size_t i = kKeyedEndpoints; i < kKeyedEndpoints + 2; ++i) {
      world.KillEndpoint(i);
      REQUIRE(world.StartEndpoint(i));
    }
    world.RunFor(milliseconds(1'000));
  }
  world.StopCallers();
  const std::vector<std::string> late = FindLateArrivals(world.record());
  CAPTURE(late);
  CHECK(late.empty());
  CHECK(FindMissingRecovery(world.record()).empty());
}

}  // namespace
}  // namespace bluebell
