#include "bluebell/placement/placement_table.h"

#include <catch2/catch.hpp>

#include "bluebell/placement/table_json.h"

namespace bluebell {
namespace {

const endpoint_instance kFirst{endpoint_id("a"), incarnation(1)};
const endpoint_instance kSecond{endpoint_id("b"), incarnation(2)};
const domain_name kDomain("lk-west-a");

placement_table Table(std::vector<table_edit> edits) {
  const placement_table empty =
      placement_table::Initial(service_name("tracker"), 0, 2, {kDomain});
  return empty.Apply(edits, change_id("c")).value();
}

slice_range Left() {
  return DivideHashSpace(2).front();
}

TEST_CASE("an owned slice can't be assigned again without a move") {
  const placement_table table = Table({assign_slice{Left(), kFirst, kDomain}});
  const std::vector<table_edit> edits = {
      assign_slice{Left(), kSecond, kDomain}};
  CHECK_FALSE(table.Apply(edits, change_id("d")));
}

TEST_CASE(
    "each change of owner raises the epoch, so that old leases are refused") {
  const placement_table table =
      Table({assign_slice{Left(), kFirst, kDomain},
             begin_move{Left(), move_cause::kRebalance, std::nullopt},
             assign_slice{Left(), kSecond, kDomain}});
  CHECK(table.slices().front().state ==
        slice_state(owned{kSecond, kDomain, epoch(2)}));
}

TEST_CASE("a replaced roster stays recorded until it is cleared") {
  const daemon_instance one{daemon_id("d1"), incarnation(1)};
  const daemon_instance two{daemon_id("d2"), incarnation(1)};
  const placement_table table = Table({set_roster{kDomain, {one}}});
  const std::vector<table_edit> edits = {set_roster{kDomain, {two}}};
  const placement_table next = table.Apply(edits, change_id("d")).value();
  const domain_roster* roster = next.FindRoster(kDomain);
  REQUIRE(roster->former_rosters.size() == 1);
  CHECK(roster->former_rosters.front().members.contains(one));
  CHECK(roster->former_rosters.front().replaced_at == table_version(2));
}

TEST_CASE("a stored table is parsed into an equal table") {
  const daemon_instance one{daemon_id("d1"), incarnation(1)};
  const placement_table table =
      Table({assign_slice{Left(), kFirst, kDomain}, split_slice{Left(), 17},
             begin_move{{0, 16}, move_cause::kEndpointLost, endpoint_id("b")},
             set_roster{kDomain, {one}}, set_roster{kDomain, {}}});
  const result<placement_table> parsed = ParseTable(TableToJson(table));
  REQUIRE(parsed);
  CHECK(parsed.value() == table);
}

TEST_CASE("a truncated or incomplete stored table is rejected") {
  const std::string text = TableToJson(Table({}));
  for (std::size_t length = 0; length < text.size(); ++length) {
    CHECK_FALSE(ParseTable(text.substr(0, length)));
  }
  CHECK_FALSE(ParseTable(R"({"service":"t","shard":0,"version":1,"change":"",
      "endpoints":[],"slices":[["00","owned",1,0]],"rosters":[]})"));
}

TEST_CASE("merging slices raises the epoch above both, splitting keeps it") {
  const placement_table table =
      Table({assign_slice{Left(), kFirst, kDomain}, split_slice{Left(), 17},
             merge_slices{{0, 16}, {17, Left().last}}});
  CHECK(table.FindSlice(20).state ==
        slice_state(owned{kFirst, kDomain, epoch(2)}));
}

}  // namespace
}  // namespace bluebell
