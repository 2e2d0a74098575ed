#include "bluebell/gateway/role_claim.h"

#include <map>
#include <string>

#include <catch2/catch.hpp>

#include "bluebell/fleet/store_keys.h"

namespace bluebell {
namespace {

daemon_instance Daemon(int number) {
  return {daemon_id("front-" + std::to_string(number)), incarnation(1)};
}

coordinator_record Writer(int number) {
  return {Daemon(number), store_version()};
}

coordinator_record Record(int number) {
  return {Daemon(number), store_version(10)};
}

// Applies conditional writes by the store's rules.
class store_model {
 public:
  bool Write(const kv_write& write) {
    for (const kv_condition& condition : write.conditions) {
      const auto found = items_.find(condition.key);
      const store_version current =
          found == items_.end() ? store_version() : found->second.revision;
      if (current != condition.revision) {
        return false;
      }
    }
    ++revision_;
    for (const kv_put& put : write.puts) {
      items_[put.key] = {put.key, put.value, store_version(revision_),
                         put.lease};
    }
    return true;
  }
  void EndRole() { items_.erase(std::string(kCoordinatorKey)); }
  std::vector<kv_item> Items() const {
    std::vector<kv_item> items;
    for (const auto& [key, item] : items_) {
      items.push_back(item);
    }
    return items;
  }
  role_versions Versions() const { return FindRoleVersions(Items()); }
  std::vector<coordinator_record> History() const {
    const kv_item& item = items_.at(std::string(kCoordinatorHistoryKey));
    return DecodeHistory(item.key, item.value).value();
  }

 private:
  std::map<std::string, kv_item> items_;
  std::uint64_t revision_ = 0;
};

// Failure: a daemon reads that the role is vacant. Another daemon claims the
// role and ends before the first daemon's claim arrives. The first daemon would
// then not wait for the other one's grants.
TEST_CASE("a claim fails if another daemon coordinated after the read") {
  store_model store;
  REQUIRE(store.Write(ClaimWrite({}, Daemon(1), {}, kv_lease(1))));
  store.EndRole();
  const role_versions read = store.Versions();
  REQUIRE(store.Write(ClaimWrite(read, Daemon(2), {Record(1)}, kv_lease(2))));
  store.EndRole();
  CHECK(!store.Write(ClaimWrite(read, Daemon(3), {Record(1)}, kv_lease(3))));
  CHECK(store.Write(ClaimWrite(store.Versions(), Daemon(3),
                               {Record(2), Record(1)}, kv_lease(3))));
  CHECK(store.History() ==
        std::vector<coordinator_record>{Writer(3), Record(2), Record(1)});
}

// Failure: a coordinator's lease expires in an outage. Another daemon then
// coordinates briefly, and the first one reclaims the role and goes on with
// outdated key tables.
TEST_CASE("a coordinator can't reclaim the role after another one had it") {
  store_model store;
  REQUIRE(store.Write(ClaimWrite({}, Daemon(1), {}, kv_lease(1))));
  const role_versions claimed = store.Versions();
  store.EndRole();
  const role_versions vacant{store_version(), claimed.history};
  REQUIRE(store.Write(ClaimWrite(vacant, Daemon(2), {Record(1)}, kv_lease(2))));
  store.EndRole();
  CHECK(!store.Write(ClaimWrite(vacant, Daemon(1), {}, kv_lease(3))));
}

// Failure: a former coordinator removes others from the history, and its
// successor doesn't wait for their grants.
TEST_CASE("only the present coordinator can shorten the history") {
  store_model store;
  REQUIRE(store.Write(ClaimWrite({}, Daemon(1), {Record(5)}, kv_lease(1))));
  const role_versions claimed = store.Versions();
  CHECK(store.Write(TrimHistoryWrite(claimed, Daemon(1))));
  CHECK(store.History() ==
        std::vector<coordinator_record>{{Daemon(1), claimed.coordinator}});
  store.EndRole();
  REQUIRE(store.Write(
      ClaimWrite(store.Versions(), Daemon(2), {Record(1)}, kv_lease(2))));
  CHECK(!store.Write(TrimHistoryWrite(claimed, Daemon(1))));
  CHECK(store.History().front() == Writer(2));
}

// Failure: a coordinator that has stopped stays in the history. Its successor
// waits for orders that can't come, and moves no keys for several seconds.
TEST_CASE("a coordinator that has stopped leaves the history") {
  store_model store;
  REQUIRE(store.Write(ClaimWrite({}, Daemon(1), {Record(5)}, kv_lease(1))));
  const role_versions claimed = store.Versions();
  CHECK(!store.Write(WithdrawalWrite(claimed, {Record(5)})));
  store.EndRole();
  CHECK(store.Write(WithdrawalWrite(claimed, {Record(5)})));
  CHECK(store.History() == std::vector<coordinator_record>{Record(5)});
}

// Failure: a daemon that leaves the history late removes its successor, and the
// next coordinator doesn't wait for the successor's grants.
TEST_CASE("a stopped coordinator doesn't remove its successor") {
  store_model store;
  REQUIRE(store.Write(ClaimWrite({}, Daemon(1), {}, kv_lease(1))));
  const role_versions claimed = store.Versions();
  store.EndRole();
  REQUIRE(store.Write(
      ClaimWrite(store.Versions(), Daemon(2), {Record(1)}, kv_lease(2))));
  CHECK(!store.Write(WithdrawalWrite(claimed, {})));
  store.EndRole();
  CHECK(!store.Write(WithdrawalWrite(claimed, {})));
  CHECK(store.History() ==
        std::vector<coordinator_record>{Writer(2), Record(1)});
}

// Failure: the response to a claim is lost, and the daemon doesn't recognize
// the stored claim as its own.
TEST_CASE("a claim whose response was lost is found by its value") {
  store_model store;
  REQUIRE(store.Write(ClaimWrite({}, Daemon(1), {}, kv_lease(7))));
  const auto claimed = FindOwnClaim(store.Items(), Daemon(1));
  REQUIRE(claimed);
  CHECK(claimed->lease == kv_lease(7));
  CHECK(claimed->versions == store.Versions());
  CHECK(!FindOwnClaim(store.Items(), Daemon(2)));
}

// Failure: a claim in a new era can't be told from one that only the older copy
// of the store shows.
TEST_CASE("a claim names the era of its lease") {
  store_model store;
  const kv_lease lease(7, store_era(3));
  REQUIRE(store.Write(ClaimWrite({}, Daemon(1), {Record(5)}, lease)));
  CHECK(store.History().front() ==
        coordinator_record{Daemon(1), VersionIn(store_era(3), 0)});
}

// Failure: a daemon claims the role from a live coordinator, or doesn't claim
// it from its own earlier run, whose lease has yet to expire.
TEST_CASE("only a vacant role and that of an earlier run may be claimed") {
  role_snapshot role;
  CHECK(MayBeClaimed(role, Daemon(1)));
  role.coordinator = Daemon(2);
  CHECK(!MayBeClaimed(role, Daemon(1)));
  CHECK(!MayBeClaimed(role, Daemon(2)));
  CHECK(MayBeClaimed(role, {Daemon(2).id, incarnation(2)}));
}

// Failure: a daemon that claims the role again in a later era takes a history
// that it can't read for an empty one, and replaces the claim of another
// daemon.
TEST_CASE("a malformed history doesn't count as an empty one") {
  const std::string key(kCoordinatorHistoryKey);
  CHECK(HistoryIn({}).value().empty());
  CHECK(HistoryIn({{key, EncodeHistory({Record(1)}), {}, {}}}).value() ==
        std::vector{Record(1)});
  CHECK(!HistoryIn({{key, "no history", {}, {}}}));
}

}  // namespace
}  // namespace bluebell
