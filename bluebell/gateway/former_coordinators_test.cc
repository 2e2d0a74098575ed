#include "bluebell/gateway/former_coordinators.h"

#include <string>

#include <catch2/catch.hpp>

namespace bluebell {
namespace {

const instant kStart = instant(seconds(1'000));
const instant kAuthorityEnds = kStart + seconds(8);
const store_version kHistoryRevision(100);
const store_version kBeforeHistory(60);
const store_version kBetween(80);
const store_version kAfterHistory(110);

daemon_instance Daemon(int number, std::uint64_t run = 1) {
  return {daemon_id("front-" + std::to_string(number)), incarnation(run)};
}

// The history as coordinators wrote it who knew of no earlier ones.
former_coordinators FromHistory(const std::vector<daemon_instance>& history) {
  std::vector<coordinator_record> records;
  records.reserve(history.size());
  for (const daemon_instance& daemon : history) {
    records.push_back({daemon, store_version()});
  }
  auto formers =
      former_coordinators::FromHistory(records, kHistoryRevision, Daemon(9));
  formers.SetAuthorityUntil(kAuthorityEnds);
  return formers;
}

// Failure: a coordinator is killed before its own predecessor has stopped, and
// the next coordinator waits only for the killed one. The predecessor may renew
// grants for several more seconds.
TEST_CASE("a killed coordinator doesn't end the wait for its predecessor") {
  former_coordinators formers = FromHistory({Daemon(2), Daemon(1)});
  const former_coordinators::announced_map announced{
      {Daemon(1).id, {Daemon(1).run, kBeforeHistory}},
      {Daemon(2).id, {Daemon(2, 5).run, kAfterHistory}}};
  const auto exclusions = formers.Advance(announced, kStart);
  REQUIRE(exclusions.size() == 1);
  CHECK(exclusions.front() ==
        coordinator_exclusion{Daemon(2), exclusion_reason::kProcessEnded});
  CHECK(!formers.all_excluded());
  CHECK(formers.pending() ==
        std::vector<coordinator_record>{{Daemon(1), kHistoryRevision}});
  const auto yielded = formers.OnYield(Daemon(1));
  REQUIRE(yielded);
  CHECK(yielded->daemon == Daemon(1));
  CHECK(formers.all_excluded());
}

// Failure: a view that still shows an earlier process of a coordinator's daemon
// excludes the coordinator while it may still send orders.
TEST_CASE("an entry of an earlier process doesn't exclude a coordinator") {
  former_coordinators formers = FromHistory({Daemon(1, 4)});
  for (const std::uint64_t earlier_run : {2U, 7U}) {
    const former_coordinators::announced_map outdated{
        {Daemon(1).id, {incarnation(earlier_run), kBeforeHistory}}};
    CHECK(formers.Advance(outdated, kStart).empty());
  }
  const former_coordinators::announced_map recent{
      {Daemon(1).id, {incarnation(2), kAfterHistory}}};
  const auto exclusions = formers.Advance(recent, kStart);
  REQUIRE(exclusions.size() == 1);
  CHECK(exclusions.front() ==
        coordinator_exclusion{Daemon(1, 4), exclusion_reason::kProcessEnded});
}

// Failure: a coordinator's process ends and starts again, and the next
// coordinator ends before it has shortened the history. Its claim makes the
// history newer than the entry of the restarted process, so the coordinator
// after it moves no keys until the authority of the ended process is over.
TEST_CASE("a process that ended before a later claim is excluded") {
  former_coordinators formers = former_coordinators::FromHistory(
      {{Daemon(2), store_version()}, {Daemon(1), kBeforeHistory}},
      kHistoryRevision, Daemon(9));
  formers.SetAuthorityUntil(kAuthorityEnds);
  const former_coordinators::announced_map announced{
      {Daemon(1).id, {incarnation(5), kBetween}},
      {Daemon(2).id, {Daemon(2).run, kBetween}}};
  const auto exclusions = formers.Advance(announced, kStart);
  REQUIRE(exclusions.size() == 1);
  CHECK(exclusions.front() ==
        coordinator_exclusion{Daemon(1), exclusion_reason::kProcessEnded});
  CHECK(formers.pending() ==
        std::vector<coordinator_record>{{Daemon(2), kHistoryRevision}});
}

// Failure: a former coordinator that can't be reached counts as excluded while
// it may still renew grants.
TEST_CASE("an unreachable coordinator is pending until its authority ends") {
  former_coordinators formers = FromHistory({Daemon(1)});
  CHECK(formers.Advance({}, kAuthorityEnds - milliseconds(1)).empty());
  CHECK(!formers.all_excluded());
  const auto exclusions = formers.Advance({}, kAuthorityEnds);
  REQUIRE(exclusions.size() == 1);
  CHECK(exclusions.front().reason == exclusion_reason::kAuthorityEnded);
  CHECK(formers.all_excluded());
}

// Failure: a restarted daemon waits for its own earlier process, which has
// ended.
TEST_CASE("an earlier run of the same daemon is excluded from the start") {
  CHECK(FromHistory({Daemon(9, 4)}).all_excluded());
  CHECK(former_coordinators().all_excluded());
}

// Failure: a yield from an unrelated daemon excludes a former coordinator that
// may still send orders.
TEST_CASE("a yield from a daemon outside the history excludes nobody") {
  former_coordinators formers = FromHistory({Daemon(1)});
  CHECK(!formers.OnYield(Daemon(3)));
  CHECK(!formers.all_excluded());
}

// Failure: every process that gets a claim answers it, also one that never was
// the coordinator. A process that has taken over the id or the address of a
// former coordinator excludes it while it may still send orders.
TEST_CASE("a yield excludes only the process that sent it") {
  former_coordinators formers = FromHistory({Daemon(1, 1)});
  CHECK(!formers.OnYield(Daemon(1, 5)));
  CHECK(formers.pending() ==
        std::vector<coordinator_record>{{Daemon(1, 1), kHistoryRevision}});
  const auto excluded = formers.OnYield(Daemon(1, 1));
  REQUIRE(excluded);
  CHECK(*excluded ==
        coordinator_exclusion{Daemon(1, 1), exclusion_reason::kYielded});
  CHECK(!formers.OnYield(Daemon(1, 1)));
}

// Failure: an older copy of the store shows the entry of an earlier process,
// and the present process, which may still send orders, counts as ended.
TEST_CASE("an entry of another era of the store excludes no coordinator") {
  const store_version copied = VersionIn(store_era(1), 90);
  former_coordinators formers = FromHistory({Daemon(1, 4)});
  CHECK(formers.Advance({{Daemon(1).id, {incarnation(2), copied}}}, kStart)
            .empty());
}

// Failure: a successor in the new era waits only for the coordinators that the
// store knows, while others of the lost history send grants.
TEST_CASE("coordinators of a lost history are excluded by time only") {
  former_coordinators formers = FromHistory({Daemon(1)});
  formers.AddLostHistory(store_era(1));
  formers.AddLostHistory(store_era(2));
  formers.SetAuthorityUntil(kAuthorityEnds, seconds(2));
  CHECK(formers.pending().size() == 2);
  // Also as its successor reads it.
  formers = former_coordinators::FromHistory(
      formers.pending(), VersionIn(store_era(2), 7), Daemon(8));
  formers.SetAuthorityUntil(kAuthorityEnds, seconds(2));
  CHECK(formers.OnYield(Daemon(1)));
  CHECK(formers.has_lost_history());
  CHECK(formers.Advance({}, kAuthorityEnds).empty());
  const auto excluded = formers.Advance({}, kAuthorityEnds + seconds(2));
  REQUIRE(excluded.size() == 1);
  CHECK(excluded.front().reason == exclusion_reason::kHistoryEnded);
  CHECK(formers.all_excluded());
}

}  // namespace
}  // namespace bluebell
