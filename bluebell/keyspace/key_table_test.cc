#include "bluebell/keyspace/key_table.h"

#include <catch2/catch.hpp>

namespace bluebell {
namespace {

const endpoint_instance kFirst{endpoint_id("i-1"), incarnation(1)};
const endpoint_instance kSecond{endpoint_id("i-2"), incarnation(2)};

TEST_CASE("a range moved out of the middle keeps the old fence on both sides") {
  const key_table table =
      key_table().With({0, kLastShardKey}, kFirst).With({100, 199}, kSecond);
  REQUIRE(table.assignments().size() == 3);
  CHECK(table.Find(99)->fence == epoch(1));
  CHECK(table.Find(100)->owner == kSecond);
  CHECK(table.Find(199)->fence == epoch(2));
  CHECK(table.Find(200)->owner == kFirst);
  CHECK(table.highest_fence() == epoch(2));
}

// Failure: a joined range with a lower fence than one of its parts is refused
// by the endpoint.
TEST_CASE("neighbouring ranges of one owner are joined with the higher fence") {
  const key_table table = key_table()
                              .With({0, 99}, kFirst)
                              .With({200, 299}, kFirst)
                              .With({300, 399}, kSecond)
                              .With({100, 199}, kFirst);
  CHECK(table.Joined({0, 50}) == table);
  const key_table joined = table.Joined({0, kLastShardKey});
  CHECK(joined.assignments() ==
        std::vector<key_assignment>{{{0, 299}, kFirst, epoch(4)},
                                    {{300, 399}, kSecond, epoch(3)}});
  CHECK(joined.highest_fence() == table.highest_fence());
}

TEST_CASE("keys at both ends of the key space are assigned") {
  const key_table table = key_table().With({1, kLastShardKey - 1}, kFirst);
  CHECK(table.Find(0) == nullptr);
  CHECK(table.Find(kLastShardKey) == nullptr);
  CHECK(table.Unassigned() ==
        std::vector<key_range>{{0, 0}, {kLastShardKey, kLastShardKey}});
  CHECK(key_table().Unassigned() == std::vector<key_range>{{0, kLastShardKey}});
}

TEST_CASE("a table that is encoded and decoded stays equal") {
  const key_table table =
      key_table().With({0, kLastShardKey}, kFirst).With({7, 7}, kSecond);
  CHECK(key_table::FromJson(table.ToJson()).value() == table);
}

TEST_CASE("a malformed table is rejected as a whole") {
  CHECK(!key_table::FromJson("{}"));
  CHECK(!key_table::FromJson(
      R"({"highest_fence":1,"assignments":[[5,4,"i",1,1]]})"));
  CHECK(!key_table::FromJson(
      R"({"highest_fence":9,"assignments":[[0,5,"i",1,1],[5,9,"i",1,2]]})"));
  CHECK(!key_table::FromJson(
      R"({"highest_fence":1,"assignments":[[0,5,"i",1,2]]})"));
  CHECK(!key_table::FromJson(
      R"({"highest_fence":1,"assignments":[[0,70000,"i",1,1]]})"));
}

// Failure: a store that came back from an older copy makes a coordinator give
// fences again, and endpoints refuse the latest owner or accept an earlier one.
TEST_CASE("fences of a later era are above all of the earlier ones") {
  const endpoint_instance owner{endpoint_id("a"), incarnation(1)};
  key_table lost;
  for (int i = 0; i < 5; ++i) {
    lost = lost.With(key_range(), owner);
  }
  const key_table copy = key_table().With({0, 9}, owner).With({10, 19}, owner);
  CHECK(copy.InEra(store_era(0)) == copy);
  CHECK(copy.era() == store_era(0));
  const key_table next = copy.InEra(store_era(1)).With({0, 9}, owner);
  CHECK(next.era() == store_era(1));
  CHECK(next.Find(0)->fence > lost.highest_fence());
  CHECK(next.Find(10)->fence == copy.Find(10)->fence);
  const key_table renewed = copy.WithNewFences(store_era(2));
  CHECK(renewed.Find(0)->fence > next.highest_fence());
  CHECK(renewed.Find(0)->fence < renewed.Find(10)->fence);
  CHECK(renewed.InEra(store_era(1)) == renewed);
  CHECK(key_table::FromJson(renewed.ToJson()).value() == renewed);
  CHECK(renewed.Without({5, 9}).Find(5) == nullptr);
}

}  // namespace
}  // namespace bluebell
