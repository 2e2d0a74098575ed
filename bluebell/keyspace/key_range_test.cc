#include "bluebell/keyspace/key_range.h"

#include <catch2/catch.hpp>

namespace bluebell {
namespace {

using ranges = std::vector<key_range>;

ranges Rest(const key_range& range, const key_range& removed) {
  const auto rest = range.Without(removed);
  return {rest.begin(), rest.end()};
}

TEST_CASE("Contains and Overlaps treat both ends of a range as inclusive") {
  const key_range range{10, 20};
  CHECK(range.Contains(key_range{10, 20}));
  CHECK(!range.Contains(key_range{9, 12}));
  CHECK(range.Overlaps({20, 30}));
  CHECK(!range.Overlaps({21, 30}));
}

// Guards against integer wraparound at the keys 0 and 65535.
TEST_CASE("removing a range leaves the subranges before and after it") {
  const key_range all;
  CHECK(Rest(all, {5, 9}) == ranges{{0, 4}, {10, kLastShardKey}});
  CHECK(Rest(all, {0, 9}) == ranges{{10, kLastShardKey}});
  CHECK(Rest(all, {9, kLastShardKey}) == ranges{{0, 8}});
  CHECK(Rest(all, all).empty());
  CHECK(Rest({5, 9}, {10, 12}) == ranges{{5, 9}});
}

TEST_CASE("several ranges are removed in any order") {
  const key_range range{0, 99};
  CHECK(range.Without(ranges{{50, 59}, {10, 19}, {95, 200}}) ==
        ranges{{0, 9}, {20, 49}, {60, 94}});
  CHECK(range.Without(ranges{}) == ranges{range});
  CHECK(range.Without(ranges{{0, 60}, {10, 20}}) == ranges{{61, 99}});
  CHECK(range.Without(ranges{{200, 300}}) == ranges{range});
  CHECK(key_range().Without(ranges{key_range()}).empty());
}

}  // namespace
}  // namespace bluebell
