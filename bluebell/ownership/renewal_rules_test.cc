#include <catch2/catch.hpp>

#include "bluebell/ownership/renewal_exclusion.h"
#include "bluebell/ownership/renewal_limit.h"

namespace bluebell {
namespace {

const domain_name kDomain("a");
const domain_name kSecond("b");
const domain_name kThird("c");
const instant kStart{seconds(100)};

daemon_instance Daemon(const char* id, std::uint64_t run = 1) {
  return {daemon_id(id), incarnation(run)};
}

// Version 1: rosters of three in domain a, of one in b and c.
table_replica Replica() {
  const placement_table empty = placement_table::Initial(
      service_name("tracker"), 0, 1, {kDomain, kSecond, kThird});
  const std::vector<table_edit> edits = {
      set_roster{kDomain, {Daemon("a1"), Daemon("a2"), Daemon("a3")}},
      set_roster{kSecond, {Daemon("b1")}},
      set_roster{kThird, {Daemon("c1")}},
  };
  table_replica replica(empty);
  replica.Adopt(empty.Apply(edits, change_id("1")).value(), kStart);
  return replica;
}

renewal_limit LimitOf(const table_replica& replica,
                      const table_peers& peers,
                      instant now) {
  return RenewalLimit(replica, peers, Daemon("a1"), kDomain, timing_settings{},
                      now);
}

TEST_CASE("without any proof of its table a daemon renews nothing") {
  CHECK(LimitOf(Replica(), {}, kStart).basis == renewal_basis::kNone);
}

TEST_CASE("a daemon alone stops when its proof has aged, or two could renew") {
  table_replica replica = Replica();
  replica.Prove(table_version(1), kStart);
  CHECK(LimitOf(replica, {}, kStart).until == kStart + milliseconds(600));
}

TEST_CASE("a majority of the domain carries renewals on, but not for ever") {
  table_replica replica = Replica();
  replica.Prove(table_version(1), kStart);
  table_peers peers;
  const instant later = kStart + seconds(9);
  peers.Record(Daemon("a2"), table_version(1), later, later);
  CHECK(LimitOf(replica, peers, later).basis == renewal_basis::kDomainAutonomy);
  const instant end = kStart + seconds(10);
  peers.Record(Daemon("a2"), table_version(1), end, end);
  CHECK(LimitOf(replica, peers, end).until <= end);
  // Most domains agree: a store outage stops nothing.
  peers.Record(Daemon("b1"), table_version(1), end, end);
  CHECK(LimitOf(replica, peers, end).basis == renewal_basis::kRegionAutonomy);
}

TEST_CASE("a daemon that heard of a newer table renews nothing") {
  table_replica replica = Replica();
  replica.Prove(table_version(1), kStart);
  replica.Hear(table_version(2));
  CHECK(LimitOf(replica, {}, kStart).basis == renewal_basis::kNone);
}

TEST_CASE("a peer with a newer table supports no older one") {
  table_peers peers;
  peers.Record(Daemon("a2"), table_version(2), kStart, kStart);
  CHECK_FALSE(peers.SupportedAt(Daemon("a2"), table_version(1)));
}

TEST_CASE("renewals are excluded no earlier than the rules for renewing end") {
  const table_replica replica = Replica();
  table_peers peers;
  const auto excluded = [&] {
    return RenewalsExcludedAt(replica, peers, Daemon("b1"), kDomain,
                              table_version(1), timing_settings{})
        .value();
  };
  // Nobody in the domain answers, and no other domain has acknowledged.
  CHECK(excluded() >= kStart + timing_settings{}.region_autonomy);
  peers.Record(Daemon("c1"), table_version(1), kStart, kStart);
  CHECK(excluded() >= kStart + seconds(10));
  CHECK(excluded() < kStart + seconds(11));
  peers.Record(Daemon("a1"), table_version(1), kStart, kStart);
  peers.Record(Daemon("a2"), table_version(1), kStart, kStart);
  CHECK(excluded() >= kStart + milliseconds(600));
  CHECK(excluded() < kStart + milliseconds(700));
  // The later run of the third shows that the one on the roster has ended.
  peers.Record(Daemon("a3", 2), table_version(1), kStart, kStart);
  CHECK(excluded() == kStart);
}

}  // namespace
}  // namespace bluebell
