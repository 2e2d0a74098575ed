#include "bluebell/gateway/era_succession.h"

#include <map>
#include <vector>

#include <catch2/catch.hpp>

namespace bluebell {
namespace {

const key_timing kTiming;
const instant kStart = instant(seconds(1'000));
const service_name kService("tracker");
const daemon_instance kSelf{daemon_id("front-1"), incarnation(1)};
const daemon_instance kOther{daemon_id("front-2"), incarnation(1)};
constexpr milliseconds kShort{1};

// Failure: a store that states no era delays claims or orders.
TEST_CASE("without eras every daemon may claim the role at once") {
  era_succession succession(kTiming);
  CHECK(succession.OnEra(store_era(), true, kStart) ==
        era_verdict::kUnaffected);
  CHECK(AreSettled({}, {kService}, store_era()));
  CHECK(succession.MayClaim(false, kStart));
}

// Failure: a daemon whose tables may be older than grants in force takes the
// role before the coordinator that knows the owners has claimed it again.
TEST_CASE("a coordinator with authority has precedence in a new era") {
  era_succession holder(kTiming);
  CHECK(holder.OnEra(store_era(1), true, kStart) == era_verdict::kReclaims);
  CHECK(holder.OnEra(store_era(1), true, kStart) == era_verdict::kUnaffected);
  era_succession other(kTiming);
  CHECK(other.OnEra(store_era(1), false, kStart) == era_verdict::kStops);
  CHECK_FALSE(other.MayClaim(false, kStart + seconds(3) - kShort));
  CHECK(other.MayClaim(false, kStart + seconds(3)));
  // Once the tables belong to the era, the role passes on as usual.
  CHECK(other.MayClaim(true, kStart));
  // A second rise begins the time anew.
  other.OnEra(store_era(2), false, kStart + seconds(2));
  CHECK_FALSE(other.MayClaim(false, kStart + seconds(5) - kShort));
}

// Failure: a successor sends grants from an older table while those of the
// coordinators of the lost history are in force.
TEST_CASE("a successor is silent until all earlier grants have ended") {
  const era_succession succession(kTiming);
  CHECK(succession.SilentUntil(kStart) ==
        kStart + kTiming.authority_duration + kTiming.MaxGrantLifetime());
}

// Failure: the tables of an older copy, or none where the copy lacks one, count
// as those of the present owners.
TEST_CASE("only tables that were written in an era settle it") {
  const key_table copy = key_table().With(key_range(), endpoint_instance());
  const key_table own = copy.InEra(store_era(2));
  const std::vector<service_name> services{kService, service_name("maps")};
  const auto tables = [&](const key_table& first, const key_table& second) {
    return std::map<service_name, key_table>{{services[0], first},
                                             {services[1], second}};
  };
  CHECK(AreSettled(tables(own, own), services, store_era(2)));
  CHECK_FALSE(AreSettled(tables(own, copy), services, store_era(2)));
  CHECK_FALSE(AreSettled({{kService, own}}, services, store_era(2)));
  CHECK_FALSE(AreSettled(tables(own, own), services, store_era(3)));
}

// Failure: a coordinator takes the role back from one that claimed it in the
// new era, or gives way to one that only the older copy shows.
TEST_CASE("only a claim of the new era ends the role") {
  const auto claimed_in = [](const daemon_instance& daemon, std::uint64_t era) {
    return std::vector<coordinator_record>{
        {daemon, VersionIn(store_era(era), 0)}, {kSelf, store_version(4)}};
  };
  CHECK(IsClaimedByOther(claimed_in(kOther, 2), kSelf, store_era(2)));
  CHECK_FALSE(IsClaimedByOther(claimed_in(kOther, 1), kSelf, store_era(2)));
  CHECK_FALSE(IsClaimedByOther(claimed_in(kSelf, 2), kSelf, store_era(2)));
  CHECK_FALSE(IsClaimedByOther({}, kSelf, store_era(2)));
}

}  // namespace
}  // namespace bluebell
