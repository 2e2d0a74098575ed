#include <cstddef>
#include <string>
#include <utility>

#include <catch2/catch.hpp>

#include "bluebell/fleet/change_log.h"
#include "bluebell/fleet/fleet_update.h"
#include "bluebell/wire/frame.h"

namespace bluebell {
namespace {

constexpr std::size_t kMaxUpdateBytes = 24'000;

// Guards against a relay whose updates fit in no datagram: the daemons that
// follow it heard nothing after a large configuration until they gave the relay
// up.
TEST_CASE("each update of a relay fits in a datagram") {
  const std::size_t bytes =
      GENERATE(100, 20'000, 40'000, 64'000, 70'000, 300'000);
  change_log log({"config/", "daemons/"});
  log.Reset(store_version(1));
  const kv_item config{"config/routes", std::string(bytes, 'x'),
                       store_version(5), kv_lease()};
  const kv_item daemon{"daemons/a", "entry", store_version(6), kv_lease()};
  log.Append("", {config, daemon}, store_version(7));
  auto changes = log.ChangesAfter({1, 1}, kMaxUpdateBytes);
  REQUIRE(changes);
  fleet_update update;
  update.confirmed = true;
  update.has_more = changes->has_more;
  update.scopes = std::move(changes->scopes);
  INFO("a change of " << bytes << " bytes");
  CHECK(EncodeFrame({exchange_kind::kOneWay, 0, update}));
}

}  // namespace
}  // namespace bluebell
