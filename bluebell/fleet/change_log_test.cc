#include "bluebell/fleet/change_log.h"

#include <string>

#include <catch2/catch.hpp>

#include "bluebell/core/store_era.h"

namespace bluebell {
namespace {

constexpr std::size_t kRoom = 10'000;

kv_event Put(const std::string& key, std::uint64_t revision) {
  return kv_item{key, "value", store_version(revision), kv_lease()};
}

change_log MakeLog(std::uint64_t revision) {
  change_log log({"a/", "b/"});
  log.Reset(store_version(revision));
  return log;
}

// Guards against a follower that misses a change and isn't told so.
TEST_CASE("changes after a position are handed on in order") {
  change_log log = MakeLog(10);
  log.Append("a/", {Put("a/1", 11), Put("a/2", 14)}, store_version(15));
  log.Append("b/", {kv_deletion{"b/1", store_version(12)}}, store_version(12));
  const auto all = log.ChangesAfter({10, 10}, kRoom);
  REQUIRE(all);
  CHECK(!all->has_more);
  CHECK(all->scopes[0] == scope_changes{10,
                                        15,
                                        {{"a/1", "value", false, 11, true},
                                         {"a/2", "value", false, 14, true}}});
  CHECK(all->scopes[1] == scope_changes{10, 12, {{"b/1", "", true, 12, true}}});
  const auto rest = log.ChangesAfter({11, 12}, kRoom);
  REQUIRE(rest);
  CHECK(rest->scopes[0].changes.size() == 1);
  CHECK(rest->scopes[1].changes.empty());
}

TEST_CASE("positions before the first held change are refused") {
  change_log log = MakeLog(10);
  CHECK(!log.ChangesAfter({9, 10}, kRoom));
  CHECK(!log.ChangesAfter({10}, kRoom));
  for (std::uint64_t revision = 11; revision < 2'000; ++revision) {
    log.Append("a/", {Put("a/1", revision)}, store_version(revision));
  }
  CHECK(!log.ChangesAfter({10, 10}, kRoom));
  CHECK(log.ChangesAfter({1'900, 10}, 1'000'000));
}

// Guards against a follower that goes back when it changes its relay.
TEST_CASE("a position ahead of this daemon's stays where it is") {
  change_log log = MakeLog(10);
  const auto changes = log.ChangesAfter({20, 10}, kRoom);
  REQUIRE(changes);
  CHECK(changes->scopes[0] == scope_changes{20, 20, {}});
}

TEST_CASE("what doesn't fit follows after the position of the batch") {
  change_log log = MakeLog(10);
  log.Append("", {Put("a/1", 11), Put("a/2", 12), Put("b/1", 13)},
             store_version(13));
  std::vector<std::uint64_t> positions{10, 10};
  std::size_t changes = 0;
  bool has_more = true;
  while (has_more) {
    const auto batch = log.ChangesAfter(positions, 50);
    REQUIRE(batch);
    for (std::size_t i = 0; i < batch->scopes.size(); ++i) {
      positions[i] = batch->scopes[i].up_to;
      changes += batch->scopes[i].changes.size();
    }
    has_more = batch->has_more;
  }
  CHECK(changes == 3);
  CHECK(positions == std::vector<std::uint64_t>{13, 13});
}

// Guards against a follower that asks again and again for a change that never
// fits.
TEST_CASE("a change that is larger than the room is handed on alone") {
  change_log log = MakeLog(10);
  log.Append("", {Put("a/1", 11), Put("b/1", 12)}, store_version(12));
  const auto first = log.ChangesAfter({10, 10}, 1);
  REQUIRE(first);
  CHECK(first->has_more);
  CHECK(first->scopes[0].changes.size() == 1);
  CHECK(first->scopes[1] == scope_changes{10, 10, {}});
}

// Guards against updates that fit in no datagram and are never sent.
TEST_CASE("a change too large for a datagram ends the batch before it") {
  change_log log = MakeLog(10);
  const kv_item large{"a/2", std::string(100'000, 'x'), store_version(12),
                      kv_lease()};
  log.Append("", {Put("a/1", 11), large, Put("b/1", 13)}, store_version(13));
  const auto first = log.ChangesAfter({10, 10}, kRoom);
  REQUIRE(first);
  CHECK(first->has_more);
  CHECK(first->scopes[0].up_to == 11);
  CHECK(first->scopes[0].changes.size() == 1);
  const auto none = log.ChangesAfter({11, 13}, kRoom);
  REQUIRE(none);
  CHECK(none->has_more);
  CHECK(none->scopes[0] == scope_changes{11, 11, {}});
  const auto rest = log.ChangesAfter({12, 10}, kRoom);
  REQUIRE(rest);
  CHECK(!rest->has_more);
  CHECK(rest->scopes[1].changes.size() == 1);
}

TEST_CASE("known changes and those past the end of a listing are skipped") {
  change_log log = MakeLog(10);
  log.Append("a/", {Put("a/1", 12)}, store_version(12));
  log.Append("", {Put("a/1", 12), Put("a/2", 13), Put("b/1", 15)},
             store_version(14));
  CHECK(log.positions() == std::vector<std::uint64_t>{14, 14});
  CHECK(log.ChangesAfter({10, 10}, kRoom)->scopes[0].changes.size() == 2);
  CHECK(log.ChangesAfter({10, 10}, kRoom)->scopes[1].changes.empty());
}

// Failure: a relay that hasn't noticed that the store came back from an older
// copy vouches for the state of a follower that has.
TEST_CASE("a daemon in an earlier era of the store has nothing to hand on") {
  change_log log({"a/"});
  log.Reset(VersionIn(store_era(1), 50));
  CHECK(log.ChangesAfter({VersionIn(store_era(1), 60).value()}, 1'000));
  CHECK_FALSE(log.ChangesAfter({VersionIn(store_era(2), 40).value()}, 1'000));
}

}  // namespace
}  // namespace bluebell
