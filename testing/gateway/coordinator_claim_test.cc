// Claims of the coordinator's role by a daemon that is a process of its own.

#include <algorithm>
#include <filesystem>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "bluebell/core/boot_clock.h"
#include "bluebell/core/ids.h"
#include "bluebell/core/store_era.h"
#include "bluebell/fleet/coordinator_record.h"
#include "bluebell/fleet/store_keys.h"
#include "testing/gateway/gateway_world.h"
#include "testing/gateway/kv_standin.h"

namespace bluebell {
namespace {

constexpr std::uint16_t kFirstPort = 20'400;
// Below the time after which a daemon gives up a call to the store, and above
// the longest pause of its watches.
constexpr milliseconds kListingDelay{800};
// A daemon leaves a coordinator of an earlier era 3 s to claim the role again.
constexpr milliseconds kFirstClaimLimit{10'000};
// Keys are served again within 2 s of the loss of their coordinator.
constexpr milliseconds kRecoveryBound{2'000};
const daemon_instance kOther{daemon_id("other"), incarnation(7)};

// One daemon, and a store that has come back from a copy once, so that the
// daemon lists the key tables before it claims the role.
std::unique_ptr<gateway_world> MakeWorld() {
  gateway_world_options options;
  options.seed = 1;
  options.program = BLUEBELL_GATEWAY_PROGRAM;
  options.folder =
      (std::filesystem::temp_directory_path() / "bluebell-coordinator-claim")
          .string();
  options.first_port = kFirstPort;
  options.gateways = 1;
  options.keyed_endpoints = 2;
  options.plain_endpoints = 2;
  options.callers = 0;
  auto made = gateway_world::Make(options);
  REQUIRE(made);
  made.value()->store().RollBack(milliseconds(0));
  return std::move(made).value();
}

bool RunUntil(gateway_world& world,
              milliseconds limit,
              const std::function<bool()>& condition) {
  constexpr milliseconds kStep{5};
  const instant end = BootNow() + limit;
  while (!condition() && BootNow() < end) {
    world.RunFor(kStep);
  }
  return condition();
}

std::vector<coordinator_record> StoredHistory(const kv_standin& store) {
  const auto value = store.Find(std::string(kCoordinatorHistoryKey));
  return value ? DecodeHistory(kCoordinatorHistoryKey, *value).value()
               : std::vector<coordinator_record>();
}

// Failure: while a daemon listed the key tables, another one claimed the role.
// The daemon replaced that live claim, didn't know its owner as a former
// coordinator, and granted keys that endpoints still had from it.
TEST_CASE("a claim made while a candidate lists the key tables is kept") {
  const auto world = MakeWorld();
  kv_standin& store = world->store();
  store.SetFault(store_slow_listings{std::string(kTablePrefix), kListingDelay});
  REQUIRE(RunUntil(*world, kFirstClaimLimit,
                   [&] { return store.delayed_listings() > 0; }));
  const std::string claim = EncodeDaemon(kOther);
  REQUIRE(store.Put(std::string(kCoordinatorHistoryKey),
                    EncodeHistory({{kOther, VersionIn(store_era(1), 0)}})));
  REQUIRE(store.Put(std::string(kCoordinatorKey), claim));
  world->RunFor(2 * kListingDelay);
  CHECK(store.Find(std::string(kCoordinatorKey)) == claim);

  // The role is claimed soon after it has become vacant, and the claim names
  // the other daemon.
  store.SetFault(store_well());
  REQUIRE(store.Delete(std::string(kCoordinatorKey)));
  CHECK(RunUntil(*world, kRecoveryBound,
                 [&] { return world->Coordinator().has_value(); }));
  const std::vector<coordinator_record> history = StoredHistory(store);
  CHECK(std::any_of(history.begin(), history.end(), [](const auto& record) {
    return record.daemon == kOther;
  }));
}

}  // namespace
}  // namespace bluebell
