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

// Version 1 of a table: domain a has a roster of three daemons, b and c have
// one of one daemon each.
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

// Failure: a daemon renews leases under a table that may be outdated.
TEST_CASE("a daemon without proof that its table is current renews nothing") {
  CHECK(LimitOf(Replica(), {}, kStart).basis == renewal_basis::kNone);
}

// Failure: a partitioned daemon goes on renewing while the others move the keys
// to a new owner.
TEST_CASE("a daemon without peers may renew only while its proof is fresh") {
  table_replica replica = Replica();
  replica.RecordProof(table_version(1), kStart);
  CHECK(LimitOf(replica, {}, kStart).until == kStart + milliseconds(600));
}

// Failure: renewals stop in an outage of the store, or a domain that is cut off
// from the others renews without limit.
TEST_CASE("majority support in the domain extends renewals up to a limit") {
  table_replica replica = Replica();
  replica.RecordProof(table_version(1), kStart);
  table_peers peers;
  const instant later = kStart + seconds(9);
  peers.Record(Daemon("a2"), table_version(1), later, later);
  CHECK(LimitOf(replica, peers, later).basis == renewal_basis::kDomainAutonomy);
  const instant end = kStart + seconds(10);
  peers.Record(Daemon("a2"), table_version(1), end, end);
  CHECK(LimitOf(replica, peers, end).until <= end);
  // With the support of most domains renewals continue in a store outage.
  peers.Record(Daemon("b1"), table_version(1), end, end);
  CHECK(LimitOf(replica, peers, end).basis == renewal_basis::kRegionAutonomy);
}

// Failure: a daemon renews leases under a table that it knows is outdated.
TEST_CASE("a daemon that knows of a newer table renews nothing") {
  table_replica replica = Replica();
  replica.RecordProof(table_version(1), kStart);
  replica.ObserveVersion(table_version(2));
  CHECK(LimitOf(replica, {}, kStart).basis == renewal_basis::kNone);
}

// Failure: a peer that has a newer table counts towards the majority of an
// older one.
TEST_CASE("a peer with a newer table doesn't support an older one") {
  table_peers peers;
  peers.Record(Daemon("a2"), table_version(2), kStart, kStart);
  CHECK_FALSE(peers.SupportedAt(Daemon("a2"), table_version(1)));
}

// Failure: keys get a new owner while a daemon may still renew the lease of the
// old one.
TEST_CASE("renewals are excluded only after the renewal rules forbid them") {
  const table_replica replica = Replica();
  table_peers peers;
  const auto excluded = [&] {
    return RenewalsExcludedAt(replica, peers, Daemon("b1"), kDomain,
                              table_version(1), timing_settings{})
        .value();
  };
  // No daemon of the domain and no other domain has acknowledged.
  CHECK(excluded() >= kStart + timing_settings{}.region_autonomy);
  peers.Record(Daemon("c1"), table_version(1), kStart, kStart);
  CHECK(excluded() >= kStart + seconds(10));
  CHECK(excluded() < kStart + seconds(11));
  peers.Record(Daemon("a1"), table_version(1), kStart, kStart);
  peers.Record(Daemon("a2"), table_version(1), kStart, kStart);
  CHECK(excluded() >= kStart + milliseconds(600));
  CHECK(excluded() < kStart + milliseconds(700));
  // The later run of a3 shows that the one on the roster has ended.
  peers.Record(Daemon("a3", 2), table_version(1), kStart, kStart);
  CHECK(excluded() == kStart);
}

}  // namespace
}  // namespace bluebell
