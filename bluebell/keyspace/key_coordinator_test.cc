#include "bluebell/keyspace/key_coordinator.h"

#include <string>
#include <variant>
#include <vector>

#include <catch2/catch.hpp>

#include "bluebell/core/overloaded.h"

namespace bluebell {
namespace {

const key_timing kTiming;
const instant kStart = instant(seconds(1'000));

fleet_endpoint Entry(int number, std::uint64_t run = 1) {
  fleet_endpoint entry;
  entry.instance = {endpoint_id("i-" + std::to_string(number)),
                    incarnation(run)};
  entry.service = service_name("tracker");
  entry.where =
      address::Parse("10.0.0.1:" + std::to_string(8'000 + number)).value();
  entry.slots = 2;
  return entry;
}

template <typename Action>
std::vector<Action> ActionsOf(const std::vector<coordinator_action>& actions) {
  std::vector<Action> found;
  for (const coordinator_action& each : actions) {
    if (const auto* action = std::get_if<Action>(&each)) {
      found.push_back(*action);
    }
  }
  return found;
}

// A coordinator with endpoints whose orders and writes the test answers.
struct coordinator_fixture {
  explicit coordinator_fixture(int endpoints) : keys(kTiming) {
    keys.TakeOver(key_table(), store_version(), kStart, kStart);
    for (int i = 0; i < endpoints; ++i) {
      entries.push_back(Entry(i));
    }
    keys.SetEndpoints(entries);
  }

  std::vector<coordinator_action> Advance() {
    return keys.Advance(now + kTiming.authority_duration, true, now);
  }

  // Answers all orders and writes with success until no actions are left.
  void AnswerAll() {
    for (int round = 0; round < 10; ++round) {
      for (const coordinator_action& action : Advance()) {
        std::visit(overloaded{[&](const send_grant& order) {
                                keys.OnGrantReply(
                                    order, now,
                                    {grant_verdict::kAccepted, true}, now);
                              },
                              [&](const send_release& order) {
                                keys.OnReleaseReply(order, "token", now);
                              },
                              [&](const write_key_table&) {
                                keys.OnWritten(store_version(++revision), now);
                              },
                              [](const resign_coordinator&) {}},
                   action);
      }
      now += milliseconds(10);
    }
  }

  // Renews the grants until those sent at the takeover have expired.
  void RenewUntilFirstGrantsExpire() {
    for (int round = 0; round < 5; ++round) {
      now += kTiming.renewal_interval;
      AnswerAll();
    }
  }

  // Answers the next renewals except those of the first endpoint, which get no
  // answer and may still be carried out. Returns the time of their sending.
  instant LoseRenewalsOfFirstEndpoint() {
    now += kTiming.renewal_interval;
    for (const send_grant& each : ActionsOf<send_grant>(Advance())) {
      const bool first = each.endpoint == entries[0].instance;
      keys.OnGrantReply(each, now,
                        first ? grant_reply{std::nullopt, true}
                              : grant_reply{grant_verdict::kAccepted, true},
                        now);
    }
    return now;
  }

  std::vector<fleet_endpoint> EntriesWithoutFirstEndpoint() const {
    return {entries.begin() + 1, entries.end()};
  }

  key_coordinator keys;
  std::vector<fleet_endpoint> entries;
  instant now = kStart;
  std::uint64_t revision = 0;
};

TEST_CASE(
    "keys are granted only after the table that assigns them is written") {
  coordinator_fixture test(3);
  const auto first = test.Advance();
  CHECK(ActionsOf<write_key_table>(first).size() == 1);
  CHECK(ActionsOf<send_grant>(first).empty());
  CHECK(ActionsOf<send_grant>(test.Advance()).empty());
  test.keys.OnWritten(store_version(5), test.now);
  CHECK(ActionsOf<send_grant>(test.Advance()).size() == 3);
}

TEST_CASE("a write without an answer is repeated unchanged") {
  coordinator_fixture test(2);
  const auto first = ActionsOf<write_key_table>(test.Advance());
  test.keys.OnWriteUnknown();
  test.entries.push_back(Entry(7));
  test.keys.SetEndpoints(test.entries);
  const auto second = ActionsOf<write_key_table>(test.Advance());
  REQUIRE(second.size() == 1);
  CHECK(second.front() == first.front());
}

TEST_CASE("keys of a draining endpoint move together with its handover token") {
  coordinator_fixture test(3);
  test.AnswerAll();
  test.entries[0].draining = true;
  test.keys.SetEndpoints(test.entries);
  const auto releases = ActionsOf<send_release>(test.Advance());
  REQUIRE(releases.size() == 1);
  CHECK(ActionsOf<send_grant>(test.Advance()).empty());
  test.keys.OnReleaseReply(releases.front(), "token", test.now);
  CHECK(ActionsOf<write_key_table>(test.Advance()).size() == 1);
  test.keys.OnWritten(store_version(++test.revision), test.now);
  const auto grants = ActionsOf<send_grant>(test.Advance());
  REQUIRE(!grants.empty());
  for (const send_grant& grant : grants) {
    CHECK(grant.endpoint != test.entries[0].instance);
    CHECK(grant.grant.handover == "token");
  }
}

TEST_CASE(
    "keys of an unresponsive endpoint move only after its grants expired") {
  coordinator_fixture test(4);
  test.AnswerAll();
  const instant granted = test.now;
  test.entries.erase(test.entries.begin());
  test.keys.SetEndpoints(test.entries);
  while (test.now < granted + kTiming.grant_duration) {
    for (const send_release& each : ActionsOf<send_release>(test.Advance())) {
      test.keys.OnReleaseReply(each, std::nullopt, test.now);
    }
    CHECK(ActionsOf<write_key_table>(test.Advance()).empty());
    test.now += milliseconds(50);
  }
  test.now = granted + kTiming.MaxGrantLifetime();
  CHECK(ActionsOf<write_key_table>(test.Advance()).size() == 1);
}

// Guards against two owners after a restart: a new process of an endpoint has
// the id and address of the former one. Until the registry lists it, renewals
// for the former process reach the new one, which accepts them because it has
// seen no fence yet.
TEST_CASE(
    "a process with the id of a former one has to release its keys first") {
  coordinator_fixture test(3);
  test.AnswerAll();
  const endpoint_instance former = test.entries[0].instance;
  test.entries[0] = Entry(0, 2);
  test.keys.SetEndpoints(test.entries);
  const auto first = test.Advance();
  CHECK(ActionsOf<write_key_table>(first).empty());
  const auto releases = ActionsOf<send_release>(first);
  REQUIRE(releases.size() == 1);
  CHECK(releases.front().endpoint.endpoint == former.endpoint);
  CHECK(releases.front().where == test.entries[0].where);
  test.keys.OnReleaseReply(releases.front(), "", test.now);
  const auto writes = ActionsOf<write_key_table>(test.Advance());
  REQUIRE(writes.size() == 1);
  for (const key_assignment& each : writes.front().table.assignments()) {
    CHECK(each.owner != former);
  }
}

TEST_CASE(
    "keys of a process whose address another endpoint has move immediately") {
  coordinator_fixture test(3);
  test.AnswerAll();
  const endpoint_instance former = test.entries[0].instance;
  fleet_endpoint successor = Entry(7, 2);
  successor.where = test.entries[0].where;
  test.entries[0] = successor;
  test.keys.SetEndpoints(test.entries);
  const auto writes = ActionsOf<write_key_table>(test.Advance());
  REQUIRE(writes.size() == 1);
  for (const key_assignment& each : writes.front().table.assignments()) {
    CHECK(each.owner != former);
  }
}

TEST_CASE("a release doesn't free keys while an unanswered grant may follow") {
  coordinator_fixture test(3);
  test.AnswerAll();
  test.now += kTiming.renewal_interval;
  const auto renewals = ActionsOf<send_grant>(test.Advance());
  REQUIRE(renewals.size() == 3);
  const instant sent = test.now;
  test.now += kTiming.call_timeout;
  for (const send_grant& each : renewals) {
    const bool first = each.endpoint == test.entries[0].instance;
    test.keys.OnGrantReply(each, sent,
                           first ? grant_reply{std::nullopt, true}
                                 : grant_reply{grant_verdict::kAccepted, true},
                           test.now);
  }
  test.entries[0].draining = true;
  test.keys.SetEndpoints(test.entries);
  for (const send_release& each : ActionsOf<send_release>(test.Advance())) {
    test.keys.OnReleaseReply(each, "token", test.now);
  }
  CHECK(ActionsOf<write_key_table>(test.Advance()).empty());
  test.now = sent + kTiming.MaxGrantLifetime();
  CHECK(ActionsOf<write_key_table>(test.Advance()).size() == 1);
}

// Guards against two owners after a release: an endpoint drains while a renewal
// is in flight. On another connection the release may arrive before the
// renewal, and the endpoint then serves the keys again after it has confirmed
// the release.
TEST_CASE("a release isn't sent while a grant of its keys is in flight") {
  coordinator_fixture test(3);
  test.AnswerAll();
  test.now += kTiming.renewal_interval;
  const auto renewals = ActionsOf<send_grant>(test.Advance());
  REQUIRE(renewals.size() == 3);
  const instant sent = test.now;
  test.entries[0].draining = true;
  test.keys.SetEndpoints(test.entries);
  test.now += milliseconds(50);
  CHECK(ActionsOf<send_release>(test.Advance()).empty());
  for (const send_grant& each : renewals) {
    test.keys.OnGrantReply(each, sent, {grant_verdict::kAccepted, true},
                           test.now);
  }
  CHECK(ActionsOf<send_release>(test.Advance()).size() == 1);
}

// Guards against a lost record of an unanswered grant: the registry entry of an
// endpoint is missing for a moment, as in an outage of the store, while a grant
// to that endpoint is unanswered.
TEST_CASE("a cancelled move keeps the record of unanswered grants") {
  coordinator_fixture test(3);
  test.AnswerAll();
  test.RenewUntilFirstGrantsExpire();
  const instant sent = test.LoseRenewalsOfFirstEndpoint();
  const auto others = test.EntriesWithoutFirstEndpoint();
  test.keys.SetEndpoints(others);
  for (const send_release& each : ActionsOf<send_release>(test.Advance())) {
    test.keys.OnReleaseReply(each, std::nullopt, test.now);
  }
  test.keys.SetEndpoints(test.entries);
  test.now += kTiming.renewal_retry_delay;
  for (const send_grant& each : ActionsOf<send_grant>(test.Advance())) {
    test.keys.OnGrantReply(each, test.now, {grant_verdict::kAccepted, true},
                           test.now);
  }
  test.entries[0].draining = true;
  test.keys.SetEndpoints(test.entries);
  for (const send_release& each : ActionsOf<send_release>(test.Advance())) {
    test.keys.OnReleaseReply(each, "token", test.now);
  }
  CHECK(ActionsOf<write_key_table>(test.Advance()).empty());
  test.now = sent + kTiming.MaxGrantLifetime();
  CHECK(ActionsOf<write_key_table>(test.Advance()).size() == 1);
}

// Guards against two endpoints at work on one key: no renewal reaches an owner
// until its grant has run out by its own clock. It has nothing to release then
// and confirms at once, while a request that it accepted before still runs.
TEST_CASE(
    "a release that the owner may confirm after its grant frees no keys") {
  coordinator_fixture test(3);
  test.AnswerAll();
  // AnswerAll() sends the grants in its second round.
  const instant sent = kStart + milliseconds(10);
  const instant may_have_ended = sent + kTiming.grant_duration;
  test.entries[0].draining = true;
  test.keys.SetEndpoints(test.entries);
  test.now = may_have_ended - milliseconds(10);
  const auto releases = ActionsOf<send_release>(test.Advance());
  REQUIRE(releases.size() == 1);
  SECTION("the release is confirmed too late") {
    test.now = may_have_ended;
    test.keys.OnReleaseReply(releases.front(), "token", test.now);
    for (; test.now < sent + kTiming.MaxGrantLifetime();
         test.now += milliseconds(10)) {
      CHECK(ActionsOf<write_key_table>(test.Advance()).empty());
    }
    test.now = sent + kTiming.MaxGrantLifetime();
    const auto writes = ActionsOf<write_key_table>(test.Advance());
    REQUIRE(writes.size() == 1);
    CHECK(writes.front().reassignments.front().reason ==
          reassignment_reason::kGrantsExpired);
    CHECK(writes.front().reassignments.front().handover == "token");
  }
  SECTION("the grant is in force when the release is confirmed") {
    test.now = may_have_ended - milliseconds(1);
    test.keys.OnReleaseReply(releases.front(), "token", test.now);
    const auto writes = ActionsOf<write_key_table>(test.Advance());
    REQUIRE(writes.size() == 1);
    CHECK(writes.front().reassignments.front().reason ==
          reassignment_reason::kReleased);
  }
}

// Guards against two endpoints at work on one key: the answer to a release is
// lost. The endpoint has nothing left to release when the next one arrives and
// confirms at once, while work that it accepted before the first still runs.
TEST_CASE("a release after an unanswered one frees no keys") {
  coordinator_fixture test(3);
  test.AnswerAll();
  test.entries[0].draining = true;
  test.keys.SetEndpoints(test.entries);
  const auto first = ActionsOf<send_release>(test.Advance());
  REQUIRE(first.size() == 1);
  test.keys.OnReleaseReply(first.front(), std::nullopt, test.now);
  test.now += milliseconds(300);
  const auto second = ActionsOf<send_release>(test.Advance());
  REQUIRE(second.size() == 1);
  test.keys.OnReleaseReply(second.front(), "token", test.now);
  const instant sent = kStart + milliseconds(10);
  for (; test.now < sent + kTiming.MaxGrantLifetime();
       test.now += milliseconds(10)) {
    CHECK(ActionsOf<write_key_table>(test.Advance()).empty());
  }
  test.now = sent + kTiming.MaxGrantLifetime();
  CHECK(ActionsOf<write_key_table>(test.Advance()).size() == 1);
}

// Guards against two owners: a coordinator decides a renewal, is paused for
// longer than the grant, and then sends it. Counted from the decision, the
// grant would have expired already.
TEST_CASE("keys don't move while a grant of them is in flight after a pause") {
  coordinator_fixture test(3);
  test.AnswerAll();
  test.now += kTiming.renewal_interval;
  const auto renewals = ActionsOf<send_grant>(test.Advance());
  REQUIRE(renewals.size() == 3);
  test.now += seconds(3);
  const instant sent = test.now;
  test.keys.SetEndpoints(test.EntriesWithoutFirstEndpoint());
  CHECK(ActionsOf<write_key_table>(test.Advance()).empty());
  for (const send_grant& each : renewals) {
    const bool first = each.endpoint == test.entries[0].instance;
    test.keys.OnGrantReply(each, sent,
                           first ? grant_reply{std::nullopt, true}
                                 : grant_reply{grant_verdict::kAccepted, true},
                           test.now);
  }
  test.now = sent + kTiming.MaxGrantLifetime() - milliseconds(1);
  CHECK(ActionsOf<write_key_table>(test.Advance()).empty());
  test.now = sent + kTiming.MaxGrantLifetime();
  CHECK(ActionsOf<write_key_table>(test.Advance()).size() == 1);
}

// Guards against two owners: the result of a grant from before a takeover
// within the term is taken for that of the grant in flight, and the release
// that follows arrives before that grant.
TEST_CASE("the result of an earlier grant doesn't end that of a later one") {
  coordinator_fixture test(3);
  test.AnswerAll();
  test.now += kTiming.renewal_interval;
  const auto earlier = ActionsOf<send_grant>(test.Advance());
  REQUIRE(earlier.size() == 3);
  const instant sent = test.now;
  test.keys.OnNotWritten(test.keys.table(), store_version(++test.revision + 5),
                         test.now);
  test.now += milliseconds(100);
  REQUIRE(ActionsOf<send_grant>(test.Advance()).size() == 3);
  for (const send_grant& each : earlier) {
    test.keys.OnGrantReply(each, sent, {grant_verdict::kAccepted, true},
                           test.now);
  }
  test.entries[0].draining = true;
  test.keys.SetEndpoints(test.entries);
  CHECK(ActionsOf<send_release>(test.Advance()).empty());
}

// Guards against keys that aren't served: a coordinator that was paused moves
// keys to even out the load, and has to wait for the expiry of their grants.
TEST_CASE("keys with an overdue renewal aren't moved before it is answered") {
  coordinator_fixture test(3);
  test.AnswerAll();
  std::vector<shard_load> loads;
  for (shard_key key = 100; key < 200; ++key) {
    loads.push_back({key, 0.04});
  }
  test.keys.SetLoads(loads, {});
  test.now += seconds(2);
  const auto after_pause = test.Advance();
  CHECK(ActionsOf<send_release>(after_pause).empty());
  const auto renewals = ActionsOf<send_grant>(after_pause);
  CHECK(renewals.size() == 3);
  for (const send_grant& each : renewals) {
    test.keys.OnGrantReply(each, test.now, {grant_verdict::kAccepted, true},
                           test.now);
  }
  test.now += milliseconds(300);
  CHECK(!ActionsOf<send_release>(test.Advance()).empty());
}

// Guards against an early reassignment: an owner that has released its keys is
// usable again, so its keys are to return to it, and it is gone again before
// the table is written.
TEST_CASE("keys that were to return wait for unanswered grants if they move") {
  coordinator_fixture test(3);
  test.AnswerAll();
  test.RenewUntilFirstGrantsExpire();
  const instant sent = test.LoseRenewalsOfFirstEndpoint();
  const auto others = test.EntriesWithoutFirstEndpoint();
  test.keys.SetEndpoints(others);
  const auto releases = ActionsOf<send_release>(test.Advance());
  REQUIRE(releases.size() == 1);
  test.keys.SetEndpoints(test.entries);
  test.Advance();
  test.keys.OnReleaseReply(releases.front(), "token", test.now);
  test.keys.SetEndpoints(others);
  CHECK(ActionsOf<write_key_table>(test.Advance()).empty());
  test.now = sent + kTiming.MaxGrantLifetime();
  CHECK(ActionsOf<write_key_table>(test.Advance()).size() == 1);
}

// Guards against an early reassignment: the keys return to their owner with a
// new fence, and the record of the new assignment knows nothing of a grant of
// the earlier one that may still be carried out.
TEST_CASE("keys that returned to their owner wait for its earlier grants") {
  coordinator_fixture test(3);
  test.AnswerAll();
  test.RenewUntilFirstGrantsExpire();
  const instant sent = test.LoseRenewalsOfFirstEndpoint();
  const auto others = test.EntriesWithoutFirstEndpoint();
  test.keys.SetEndpoints(others);
  const auto releases = ActionsOf<send_release>(test.Advance());
  REQUIRE(releases.size() == 1);
  test.keys.SetEndpoints(test.entries);
  test.Advance();
  test.now += milliseconds(10);
  test.keys.OnReleaseReply(releases.front(), "token", test.now);
  const auto writes = ActionsOf<write_key_table>(test.Advance());
  REQUIRE(writes.size() == 1);
  REQUIRE(writes.front().reassignments.front().reason ==
          reassignment_reason::kReturnsToOwner);
  test.now += milliseconds(10);
  test.keys.OnWritten(store_version(++test.revision), test.now);
  // The owner is gone again before it gets a grant with the new fence.
  test.keys.SetEndpoints(others);
  const auto after_lapse = test.Advance();
  CHECK(ActionsOf<write_key_table>(after_lapse).empty());
  for (const send_release& each : ActionsOf<send_release>(after_lapse)) {
    test.keys.OnReleaseReply(each, "token", test.now);
  }
  CHECK(ActionsOf<write_key_table>(test.Advance()).empty());
  test.now = sent + kTiming.MaxGrantLifetime() - milliseconds(1);
  CHECK(ActionsOf<write_key_table>(test.Advance()).empty());
  test.now = sent + kTiming.MaxGrantLifetime();
  CHECK(ActionsOf<write_key_table>(test.Advance()).size() == 1);
}

// Guards against a lost record of a grant in flight: the registry entry of an
// endpoint is missing for a moment while a grant is in flight.
TEST_CASE("a grant stays recorded as in flight after a cancelled move") {
  coordinator_fixture test(3);
  test.AnswerAll();
  test.now += kTiming.renewal_interval;
  const auto renewals = ActionsOf<send_grant>(test.Advance());
  REQUIRE(renewals.size() == 3);
  const auto others = test.EntriesWithoutFirstEndpoint();
  test.keys.SetEndpoints(others);
  test.Advance();
  test.keys.SetEndpoints(test.entries);
  CHECK(ActionsOf<send_grant>(test.Advance()).empty());
  test.entries[0].draining = true;
  test.keys.SetEndpoints(test.entries);
  CHECK(ActionsOf<send_release>(test.Advance()).empty());
}

// Guards against two owners: an endpoint's release gets no answer in time, its
// keys move away and back, and the late answer is taken for that of the release
// of a later move.
TEST_CASE("the answer to the release of an earlier move frees no keys") {
  coordinator_fixture test(3);
  test.AnswerAll();
  test.entries[0].draining = true;
  test.keys.SetEndpoints(test.entries);
  const auto first_releases = ActionsOf<send_release>(test.Advance());
  REQUIRE(first_releases.size() == 1);
  const key_range range = first_releases.front().release.range;
  test.now += kTiming.MaxGrantLifetime();
  test.AnswerAll();
  REQUIRE(test.keys.table().Find(range.first)->owner !=
          test.entries[0].instance);
  // The keys return to their first owner.
  test.entries[0].draining = false;
  test.entries[1].draining = true;
  test.entries[2].draining = true;
  test.keys.SetEndpoints(test.entries);
  test.AnswerAll();
  REQUIRE(test.keys.table().Find(range.first)->owner ==
          test.entries[0].instance);
  test.entries[0].draining = true;
  test.entries[1].draining = false;
  test.entries[2].draining = false;
  test.keys.SetEndpoints(test.entries);
  const auto later_releases = ActionsOf<send_release>(test.Advance());
  REQUIRE(!later_releases.empty());
  for (const send_release& later : later_releases) {
    // The late answer names the same range and endpoint as the later release.
    send_release earlier = later;
    earlier.move = first_releases.front().move;
    test.keys.OnReleaseReply(earlier, "token", test.now);
  }
  CHECK(ActionsOf<write_key_table>(test.Advance()).empty());
  for (const send_release& later : later_releases) {
    test.keys.OnReleaseReply(later, "token", test.now);
  }
  CHECK(ActionsOf<write_key_table>(test.Advance()).size() == 1);
}

// Guards against two owners after a lost answer to a release: the first release
// has ended the grant, so the endpoint may confirm the second one at once,
// while work still runs that the first one waits for.
TEST_CASE("a release confirmed after an unanswered one frees no keys early") {
  coordinator_fixture test(3);
  test.AnswerAll();
  test.RenewUntilFirstGrantsExpire();
  const instant granted = test.now;
  test.entries[0].draining = true;
  test.keys.SetEndpoints(test.entries);
  const auto first = ActionsOf<send_release>(test.Advance());
  REQUIRE(first.size() == 1);
  test.keys.OnReleaseReply(first.front(), std::nullopt, test.now);
  test.now += milliseconds(300);
  const auto second = ActionsOf<send_release>(test.Advance());
  REQUIRE(second.size() == 1);
  test.keys.OnReleaseReply(second.front(), "token", test.now);
  CHECK(ActionsOf<write_key_table>(test.Advance()).empty());
  test.now = granted + kTiming.MaxGrantLifetime();
  CHECK(ActionsOf<write_key_table>(test.Advance()).size() == 1);
}

// Guards against keys without an owner for seconds: the connection for the
// first release failed, so nothing can have reached the endpoint.
TEST_CASE("a release confirmed after one that wasn't sent frees keys at once") {
  coordinator_fixture test(3);
  test.AnswerAll();
  test.entries[0].draining = true;
  test.keys.SetEndpoints(test.entries);
  const auto first = ActionsOf<send_release>(test.Advance());
  REQUIRE(first.size() == 1);
  test.keys.OnReleaseUnsent(first.front(), test.now);
  test.now += milliseconds(300);
  const auto second = ActionsOf<send_release>(test.Advance());
  REQUIRE(second.size() == 1);
  test.keys.OnReleaseReply(second.front(), "token", test.now);
  CHECK(ActionsOf<write_key_table>(test.Advance()).size() == 1);
}

// Guards against owners that lose their keys at a hand-over of the role: the
// daemon refuses to send releases then, and each counted as an owner that
// doesn't answer.
TEST_CASE("a coordinator that hands over renews grants and releases nothing") {
  coordinator_fixture test(3);
  test.AnswerAll();
  test.entries[0].draining = true;
  test.keys.SetEndpoints(test.entries);
  const auto releases = ActionsOf<send_release>(test.Advance());
  REQUIRE(releases.size() == 1);
  test.keys.OnHandingOver();
  for (int round = 0; round < 3; ++round) {
    test.keys.OnReleaseWithdrawn(releases.front(), test.now);
    test.now += kTiming.renewal_interval;
    const auto actions = test.Advance();
    CHECK(ActionsOf<send_release>(actions).empty());
    const auto renewals = ActionsOf<send_grant>(actions);
    CHECK(renewals.size() == 2);
    for (const send_grant& each : renewals) {
      test.keys.OnGrantReply(each, test.now, {grant_verdict::kAccepted, true},
                             test.now);
    }
  }
  // The owner isn't lost: it gets its keys back when it drains no more.
  test.entries[0].draining = false;
  test.keys.SetEndpoints(test.entries);
  CHECK(ActionsOf<send_grant>(test.Advance()).size() == 1);
}

TEST_CASE("a new coordinator moves no keys while the former one may renew") {
  coordinator_fixture former(4);
  former.AnswerAll();
  key_coordinator keys(kTiming);
  keys.TakeOver(former.keys.table(), store_version(9), std::nullopt, kStart);
  std::vector<fleet_endpoint> entries = former.entries;
  entries.erase(entries.begin());
  keys.SetEndpoints(entries);
  instant now = kStart;
  for (; now < kStart + seconds(60); now += seconds(1)) {
    const auto actions =
        keys.Advance(now + kTiming.authority_duration, true, now);
    REQUIRE(ActionsOf<write_key_table>(actions).empty());
  }
  keys.OnFormerStopped(now);
  CHECK(ActionsOf<write_key_table>(
            keys.Advance(now + kTiming.authority_duration, true,
                         now + kTiming.grant_duration))
            .empty());
  CHECK(ActionsOf<write_key_table>(
            keys.Advance(now + kTiming.authority_duration, true,
                         now + kTiming.MaxGrantLifetime()))
            .size() == 1);
}

// Guards against keys that no endpoint serves for the rest of a term: after a
// write that found another revision of the table, all grants count as a former
// coordinator's, and all former coordinators were excluded before.
TEST_CASE("keys of a lost owner move after a write that found another table") {
  coordinator_fixture test(3);
  test.AnswerAll();
  test.entries[0].draining = true;
  test.keys.SetEndpoints(test.entries);
  for (const send_release& each : ActionsOf<send_release>(test.Advance())) {
    test.keys.OnReleaseReply(each, "token", test.now);
  }
  REQUIRE(ActionsOf<write_key_table>(test.Advance()).size() == 1);
  test.revision += 5;
  const instant found = test.now;
  test.keys.OnNotWritten(test.keys.table(), store_version(test.revision),
                         found);
  test.keys.SetEndpoints(test.EntriesWithoutFirstEndpoint());
  for (; test.now < found + kTiming.MaxGrantLifetime();
       test.now += milliseconds(50)) {
    // This coordinator's own grants may be in force.
    CHECK(ActionsOf<write_key_table>(test.Advance()).empty());
  }
  test.now = found + kTiming.MaxGrantLifetime();
  CHECK(ActionsOf<write_key_table>(test.Advance()).size() == 1);
}

TEST_CASE(
    "a write that found another table doesn't end a former coordinator's "
    "grants") {
  coordinator_fixture former(3);
  former.AnswerAll();
  key_coordinator keys(kTiming);
  keys.TakeOver(former.keys.table(), store_version(9), std::nullopt, kStart);
  keys.SetEndpoints(former.EntriesWithoutFirstEndpoint());
  keys.OnNotWritten(former.keys.table(), store_version(10), kStart);
  const instant later = kStart + seconds(60);
  CHECK(ActionsOf<write_key_table>(
            keys.Advance(later + kTiming.authority_duration, true, later))
            .empty());
  keys.OnFormerStopped(later);
  CHECK(ActionsOf<write_key_table>(
            keys.Advance(later + kTiming.authority_duration, true,
                         later + kTiming.MaxGrantLifetime()))
            .size() == 1);
}

TEST_CASE("a coordinator sends no orders after its authority has ended") {
  coordinator_fixture test(3);
  test.AnswerAll();
  test.now += kTiming.renewal_interval;
  CHECK(ActionsOf<send_grant>(test.keys.Advance(test.now, true, test.now))
            .empty());
}

TEST_CASE("a coordinator that most owners don't answer resigns") {
  coordinator_fixture test(6);
  test.AnswerAll();
  bool resigned = false;
  for (int round = 0; round < 4 && !resigned; ++round) {
    test.now += kTiming.renewal_interval;
    const auto actions = test.Advance();
    resigned = !ActionsOf<resign_coordinator>(actions).empty();
    for (const send_grant& each : ActionsOf<send_grant>(actions)) {
      const bool reached = each.endpoint == test.entries[0].instance;
      test.keys.OnGrantReply(each, test.now,
                             reached
                                 ? grant_reply{grant_verdict::kAccepted, true}
                                 : grant_reply{std::nullopt, false},
                             test.now);
    }
  }
  CHECK(resigned);
}

// Guards against keys without an owner: a network partition ends before the
// grants of the owners behind it have expired.
TEST_CASE("an owner that answers again gets its keys back immediately") {
  coordinator_fixture test(3);
  test.AnswerAll();
  const key_table before = test.keys.table();
  for (int round = 0; round < 3; ++round) {
    test.now += kTiming.renewal_interval;
    for (const send_grant& each : ActionsOf<send_grant>(test.Advance())) {
      const bool silent = each.endpoint == test.entries[0].instance;
      test.keys.OnGrantReply(each, test.now,
                             silent
                                 ? grant_reply{std::nullopt, false}
                                 : grant_reply{grant_verdict::kAccepted, true},
                             test.now);
    }
  }
  // The answer to the coordinator's release shows that the owner is reachable
  // again.
  const auto releases = ActionsOf<send_release>(test.Advance());
  REQUIRE(!releases.empty());
  test.keys.OnReleaseReply(releases.front(), "token", test.now);
  test.AnswerAll();
  CHECK(test.keys.table().Unassigned().empty());
  CHECK(
      test.keys.table().Find(before.assignments().front().range.first)->owner ==
      before.assignments().front().owner);
  CHECK(test.keys.UnservedRanges().empty());
}

TEST_CASE(
    "unserved ranges are reported with the expected end of the interruption") {
  coordinator_fixture test(3);
  test.AnswerAll();
  CHECK(test.keys.UnservedRanges().empty());
  const instant granted = test.now;
  test.entries.erase(test.entries.begin());
  test.keys.SetEndpoints(test.entries);
  test.Advance();
  const auto unserved = test.keys.UnservedRanges();
  REQUIRE(unserved.size() == 1);
  CHECK(unserved.front().until <= granted + kTiming.MaxGrantLifetime());
  // The release gets no answer, so the keys may be reassigned when the grant
  // has expired.
  CHECK(unserved.front().until >= granted + kTiming.grant_duration);
}

TEST_CASE("hot keys move to an endpoint with free capacity") {
  coordinator_fixture test(3);
  test.AnswerAll();
  std::vector<shard_load> loads;
  for (shard_key key = 100; key < 200; ++key) {
    loads.push_back({key, 0.04});
  }
  const endpoint_instance owner = test.keys.table().Find(150)->owner;
  for (int round = 0; round < 20; ++round) {
    test.keys.SetLoads(loads, {});
    test.now += milliseconds(300);
    test.AnswerAll();
  }
  CHECK((test.keys.table().Find(100)->owner != owner ||
         test.keys.table().Find(199)->owner != owner));
  CHECK(test.keys.table().Unassigned().empty());
}

// Failure: while ranges are joined, the owner isn't renewed in time, or the
// result of a renewal that was in flight is lost and none follows it.
TEST_CASE("ranges are joined without an interruption of their grants") {
  coordinator_fixture test(2);
  const endpoint_instance owner = test.entries[0].instance;
  test.keys.TakeOver(
      key_table().With({0, 999}, owner).With({1'000, kLastShardKey}, owner),
      store_version(1), kStart, kStart);
  const auto renewals = ActionsOf<send_grant>(test.Advance());
  REQUIRE(renewals.size() == 2);
  for (const send_grant& each : renewals) {
    test.keys.OnGrantReply(each, test.now, {grant_verdict::kAccepted, true},
                           test.now);
  }
  // The write that joins them, and a renewal of both before its result.
  test.now += kTiming.join_delay;
  const auto actions = test.Advance();
  const auto writes = ActionsOf<write_key_table>(actions);
  REQUIRE(writes.size() == 1);
  CHECK(writes.front().table.assignments().size() == 1);
  const auto in_flight = ActionsOf<send_grant>(actions);
  REQUIRE(in_flight.size() == 2);
  test.keys.OnWritten(store_version(2), test.now);
  CHECK(ActionsOf<send_grant>(test.Advance()).empty());
  for (const send_grant& each : in_flight) {
    test.keys.OnGrantReply(each, test.now, {grant_verdict::kAccepted, true},
                           test.now);
  }
  CHECK(ActionsOf<send_grant>(test.Advance()).empty());
  test.now += kTiming.renewal_interval;
  const auto joined = ActionsOf<send_grant>(test.Advance());
  REQUIRE(joined.size() == 1);
  CHECK(joined.front().grant.range == key_range{0, kLastShardKey});
  CHECK(joined.front().grant.fence == epoch(2));
}

// Failure: the store comes back from an older copy. The coordinator stops
// renewing, takes the copy's table for the present one, or moves keys that a
// coordinator of the lost history has granted to others: those without an
// owner, and those of an ended process.
TEST_CASE("a coordinator asserts its table over that of an older copy") {
  coordinator_fixture test(3);
  const endpoint_instance owner = test.entries[0].instance;
  const endpoint_instance ended{endpoint_id("ended"), incarnation(0)};
  test.keys.TakeOver(
      key_table().With({0, 999}, owner).With({1'000, 1'999}, ended),
      store_version(9), kStart, kStart);
  REQUIRE(ActionsOf<send_grant>(test.Advance()).size() == 1);
  const store_version copied = VersionIn(store_era(1), 4);
  test.keys.Reassert(store_era(1), copied, test.now);
  const auto actions = test.Advance();
  CHECK(ActionsOf<send_grant>(actions).size() == 1);
  const auto writes = ActionsOf<write_key_table>(actions);
  REQUIRE(writes.size() == 1);
  CHECK(writes.front().expected == copied);
  CHECK(writes.front().table.era() == store_era(1));
  CHECK(writes.front().table.Find(0)->owner == owner);
  test.keys.OnWritten(VersionIn(store_era(1), 5), test.now);
  const auto moves_something = [&] {
    const auto next = test.Advance();
    return !ActionsOf<write_key_table>(next).empty() ||
           !ActionsOf<send_release>(next).empty();
  };
  test.now += kTiming.authority_duration;
  CHECK_FALSE(moves_something());
  test.keys.OnFormerStopped(test.now);
  test.now += kTiming.MaxGrantLifetime() - milliseconds(1);
  CHECK_FALSE(moves_something());
  test.now += milliseconds(1);
  CHECK(moves_something());
}

// Failure: the store comes back while a table write has no known result, and
// the coordinator grants the keys to one owner while a coordinator of the lost
// history has granted them to the other.
TEST_CASE("ranges of an unknown write lose their owner with the history") {
  coordinator_fixture test(1);
  const auto writes = ActionsOf<write_key_table>(test.Advance());
  REQUIRE(writes.size() == 1);
  test.keys.OnWriteUnknown();
  test.keys.Reassert(store_era(1), VersionIn(store_era(1), 4), test.now);
  CHECK(test.keys.table().assignments().empty());
  const auto repeated = ActionsOf<write_key_table>(test.Advance());
  REQUIRE(repeated.size() == 1);
  CHECK(repeated.front().table.assignments().empty());
}

// Failure: a coordinator that begins with an older copy grants keys with fences
// that the store doesn't have, or that are below those of the lost history.
TEST_CASE("grants from an older copy follow its table with new fences") {
  coordinator_fixture test(1);
  const key_table copy =
      key_table().With(key_range(), test.entries[0].instance);
  test.keys.TakeOverCopy(copy, store_era(2), VersionIn(store_era(2), 4), kStart,
                         test.now);
  const auto actions = test.Advance();
  CHECK(ActionsOf<send_grant>(actions).empty());
  const auto writes = ActionsOf<write_key_table>(actions);
  REQUIRE(writes.size() == 1);
  CHECK(writes.front().table == copy.WithNewFences(store_era(2)));
  test.keys.OnWritten(VersionIn(store_era(2), 5), test.now);
  const auto grants = ActionsOf<send_grant>(test.Advance());
  REQUIRE(grants.size() == 1);
  CHECK(grants.front().grant.fence > copy.highest_fence());
}

}  // namespace
}  // namespace bluebell
