#include "bluebell/keyspace/key_coordinator.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
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
std::vector<Action> Only(const std::vector<coordinator_action>& actions) {
  std::vector<Action> found;
  for (const coordinator_action& each : actions) {
    if (const auto* action = std::get_if<Action>(&each)) {
      found.push_back(*action);
    }
  }
  return found;
}

// A coordinator whose orders and writes are answered by the test.
struct bench {
  explicit bench(int endpoints) : keys(kTiming) {
    keys.TakeOver(key_table(), store_version(), kStart, kStart);
    for (int i = 0; i < endpoints; ++i) {
      entries.push_back(Entry(i));
    }
    keys.SetEndpoints(entries);
  }

  std::vector<coordinator_action> Advance() {
    return keys.Advance(now + kTiming.authority, true, now);
  }

  // Answers everything at once until nothing is left to do.
  void Settle() {
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

  // Renews the grants until those of the take-over have ended.
  void RenewForAWhile() {
    for (int round = 0; round < 5; ++round) {
      now += kTiming.renewal;
      Settle();
    }
  }

  // The next renewals are answered, but for those of the first endpoint, which
  // may be carried out late. Returns when they were sent.
  instant LoseRenewalsOfFirst() {
    now += kTiming.renewal;
    for (const send_grant& each : Only<send_grant>(Advance())) {
      const bool first = each.endpoint == entries[0].instance;
      keys.OnGrantReply(each, now,
                        first ? grant_reply{std::nullopt, true}
                              : grant_reply{grant_verdict::kAccepted, true},
                        now);
    }
    return now;
  }

  std::vector<fleet_endpoint> EntriesWithoutFirst() const {
    return {entries.begin() + 1, entries.end()};
  }

  key_coordinator keys;
  std::vector<fleet_endpoint> entries;
  instant now = kStart;
  std::uint64_t revision = 0;
};

TEST_CASE(
    "keys are granted only after the table that assigns them is written") {
  bench test(3);
  const auto first = test.Advance();
  CHECK(Only<write_key_table>(first).size() == 1);
  CHECK(Only<send_grant>(first).empty());
  CHECK(Only<send_grant>(test.Advance()).empty());
  test.keys.OnWritten(store_version(5), test.now);
  CHECK(Only<send_grant>(test.Advance()).size() == 3);
}

TEST_CASE("a write without an answer is repeated as it was") {
  bench test(2);
  const auto first = Only<write_key_table>(test.Advance());
  test.keys.OnWriteUnknown();
  test.entries.push_back(Entry(7));
  test.keys.SetEndpoints(test.entries);
  const auto second = Only<write_key_table>(test.Advance());
  REQUIRE(second.size() == 1);
  CHECK(second.front() == first.front());
}

TEST_CASE("an endpoint that drains gives its keys away with a handover") {
  bench test(3);
  test.Settle();
  test.entries[0].draining = true;
  test.keys.SetEndpoints(test.entries);
  const auto releases = Only<send_release>(test.Advance());
  REQUIRE(releases.size() == 1);
  CHECK(Only<send_grant>(test.Advance()).empty());
  test.keys.OnReleaseReply(releases.front(), "token", test.now);
  CHECK(Only<write_key_table>(test.Advance()).size() == 1);
  test.keys.OnWritten(store_version(++test.revision), test.now);
  const auto grants = Only<send_grant>(test.Advance());
  REQUIRE(!grants.empty());
  for (const send_grant& grant : grants) {
    CHECK(grant.endpoint != test.entries[0].instance);
    CHECK(grant.grant.handover == "token");
  }
}

TEST_CASE("keys of a silent endpoint move only when its grants have ended") {
  bench test(4);
  test.Settle();
  const instant granted = test.now;
  test.entries.erase(test.entries.begin());
  test.keys.SetEndpoints(test.entries);
  while (test.now < granted + kTiming.hold) {
    for (const send_release& each : Only<send_release>(test.Advance())) {
      test.keys.OnReleaseReply(each, std::nullopt, test.now);
    }
    CHECK(Only<write_key_table>(test.Advance()).empty());
    test.now += milliseconds(50);
  }
  test.now = granted + kTiming.LongestHold();
  CHECK(Only<write_key_table>(test.Advance()).size() == 1);
}

// The pattern: an endpoint starts again with its id and at its address. Before
// its entry tells, renewals meant for the former process reach the new one,
// which takes them, since it knows no fence.
TEST_CASE("a process with the id of a former one releases its keys first") {
  bench test(3);
  test.Settle();
  const endpoint_instance former = test.entries[0].instance;
  test.entries[0] = Entry(0, 2);
  test.keys.SetEndpoints(test.entries);
  const auto first = test.Advance();
  CHECK(Only<write_key_table>(first).empty());
  const auto releases = Only<send_release>(first);
  REQUIRE(releases.size() == 1);
  CHECK(releases.front().endpoint.endpoint == former.endpoint);
  CHECK(releases.front().where == test.entries[0].where);
  test.keys.OnReleaseReply(releases.front(), "", test.now);
  const auto writes = Only<write_key_table>(test.Advance());
  REQUIRE(writes.size() == 1);
  for (const key_assignment& each : writes.front().table.assignments()) {
    CHECK(each.owner != former);
  }
}

TEST_CASE("keys of a process whose address another endpoint has move at once") {
  bench test(3);
  test.Settle();
  const endpoint_instance former = test.entries[0].instance;
  fleet_endpoint successor = Entry(7, 2);
  successor.where = test.entries[0].where;
  test.entries[0] = successor;
  test.keys.SetEndpoints(test.entries);
  const auto writes = Only<write_key_table>(test.Advance());
  REQUIRE(writes.size() == 1);
  for (const key_assignment& each : writes.front().table.assignments()) {
    CHECK(each.owner != former);
  }
}

TEST_CASE("a release doesn't free keys while an unanswered grant may follow") {
  bench test(3);
  test.Settle();
  test.now += kTiming.renewal;
  const auto renewals = Only<send_grant>(test.Advance());
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
  for (const send_release& each : Only<send_release>(test.Advance())) {
    test.keys.OnReleaseReply(each, "token", test.now);
  }
  CHECK(Only<write_key_table>(test.Advance()).empty());
  test.now = sent + kTiming.LongestHold();
  CHECK(Only<write_key_table>(test.Advance()).size() == 1);
}

// The pattern: an endpoint drains while a renewal is on its way. On another
// connection the release may overtake it, and the endpoint then holds the keys
// again after it has confirmed that it released them.
TEST_CASE("a release isn't sent while a grant of its keys is on the way") {
  bench test(3);
  test.Settle();
  test.now += kTiming.renewal;
  const auto renewals = Only<send_grant>(test.Advance());
  REQUIRE(renewals.size() == 3);
  const instant sent = test.now;
  test.entries[0].draining = true;
  test.keys.SetEndpoints(test.entries);
  test.now += milliseconds(50);
  CHECK(Only<send_release>(test.Advance()).empty());
  for (const send_grant& each : renewals) {
    test.keys.OnGrantReply(each, sent, {grant_verdict::kAccepted, true},
                           test.now);
  }
  CHECK(Only<send_release>(test.Advance()).size() == 1);
}

// The pattern: an entry lapses and is back at once, as in an outage of the
// store, while a grant to its endpoint is unanswered.
TEST_CASE("a cancelled move doesn't forget grants that may come late") {
  bench test(3);
  test.Settle();
  test.RenewForAWhile();
  const instant sent = test.LoseRenewalsOfFirst();
  const auto others = test.EntriesWithoutFirst();
  test.keys.SetEndpoints(others);
  for (const send_release& each : Only<send_release>(test.Advance())) {
    test.keys.OnReleaseReply(each, std::nullopt, test.now);
  }
  test.keys.SetEndpoints(test.entries);
  test.now += kTiming.renewal_retry;
  for (const send_grant& each : Only<send_grant>(test.Advance())) {
    test.keys.OnGrantReply(each, test.now, {grant_verdict::kAccepted, true},
                           test.now);
  }
  test.entries[0].draining = true;
  test.keys.SetEndpoints(test.entries);
  for (const send_release& each : Only<send_release>(test.Advance())) {
    test.keys.OnReleaseReply(each, "token", test.now);
  }
  CHECK(Only<write_key_table>(test.Advance()).empty());
  test.now = sent + kTiming.LongestHold();
  CHECK(Only<write_key_table>(test.Advance()).size() == 1);
}

// The pattern: an owner that released its keys is back, so that they are meant
// to return to it, and is gone again before that is written.
TEST_CASE("keys meant to return wait for late grants if they go elsewhere") {
  bench test(3);
  test.Settle();
  test.RenewForAWhile();
  const instant sent = test.LoseRenewalsOfFirst();
  const auto others = test.EntriesWithoutFirst();
  test.keys.SetEndpoints(others);
  const auto releases = Only<send_release>(test.Advance());
  REQUIRE(releases.size() == 1);
  test.keys.SetEndpoints(test.entries);
  test.Advance();
  test.keys.OnReleaseReply(releases.front(), "token", test.now);
  test.keys.SetEndpoints(others);
  CHECK(Only<write_key_table>(test.Advance()).empty());
  test.now = sent + kTiming.LongestHold();
  CHECK(Only<write_key_table>(test.Advance()).size() == 1);
}

// The pattern: an entry is away for a moment while a grant is on its way.
TEST_CASE("a grant on its way is known of after a cancelled move") {
  bench test(3);
  test.Settle();
  test.now += kTiming.renewal;
  const auto renewals = Only<send_grant>(test.Advance());
  REQUIRE(renewals.size() == 3);
  const auto others = test.EntriesWithoutFirst();
  test.keys.SetEndpoints(others);
  test.Advance();
  test.keys.SetEndpoints(test.entries);
  CHECK(Only<send_grant>(test.Advance()).empty());
  test.entries[0].draining = true;
  test.keys.SetEndpoints(test.entries);
  CHECK(Only<send_release>(test.Advance()).empty());
}

TEST_CASE("a new coordinator moves nothing while the former one may renew") {
  bench former(4);
  former.Settle();
  key_coordinator keys(kTiming);
  keys.TakeOver(former.keys.table(), store_version(9), std::nullopt, kStart);
  std::vector<fleet_endpoint> entries = former.entries;
  entries.erase(entries.begin());
  keys.SetEndpoints(entries);
  instant now = kStart;
  for (; now < kStart + seconds(60); now += seconds(1)) {
    const auto actions = keys.Advance(now + kTiming.authority, true, now);
    REQUIRE(Only<write_key_table>(actions).empty());
  }
  keys.SetFormerUntil(now);
  CHECK(Only<write_key_table>(
            keys.Advance(now + kTiming.authority, true, now + kTiming.hold))
            .empty());
  CHECK(Only<write_key_table>(keys.Advance(now + kTiming.authority, true,
                                           now + kTiming.LongestHold()))
            .size() == 1);
}

TEST_CASE("a coordinator without authority sends no orders") {
  bench test(3);
  test.Settle();
  test.now += kTiming.renewal;
  CHECK(Only<send_grant>(test.keys.Advance(test.now, true, test.now)).empty());
}

TEST_CASE("a coordinator that reaches only a few endpoints gives the role up") {
  bench test(6);
  test.Settle();
  bool resigned = false;
  for (int round = 0; round < 4 && !resigned; ++round) {
    test.now += kTiming.renewal;
    const auto actions = test.Advance();
    resigned = !Only<resign_coordinator>(actions).empty();
    for (const send_grant& each : Only<send_grant>(actions)) {
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

// The pattern: a cut heals before the grants of the owners behind it have
// ended.
TEST_CASE("an owner that answers again keeps its keys at once") {
  bench test(3);
  test.Settle();
  const key_table before = test.keys.table();
  for (int round = 0; round < 3; ++round) {
    test.now += kTiming.renewal;
    for (const send_grant& each : Only<send_grant>(test.Advance())) {
      const bool silent = each.endpoint == test.entries[0].instance;
      test.keys.OnGrantReply(each, test.now,
                             silent
                                 ? grant_reply{std::nullopt, false}
                                 : grant_reply{grant_verdict::kAccepted, true},
                             test.now);
    }
  }
  // The release that the coordinator tries shows that the owner is back.
  const auto releases = Only<send_release>(test.Advance());
  REQUIRE(!releases.empty());
  test.keys.OnReleaseReply(releases.front(), "token", test.now);
  test.Settle();
  CHECK(test.keys.table().Unassigned().empty());
  CHECK(
      test.keys.table().Find(before.assignments().front().range.first)->owner ==
      before.assignments().front().owner);
  CHECK(test.keys.UnheldRanges().empty());
}

TEST_CASE("ranges without a holder are known with the time of their return") {
  bench test(3);
  test.Settle();
  CHECK(test.keys.UnheldRanges().empty());
  const instant granted = test.now;
  test.entries.erase(test.entries.begin());
  test.keys.SetEndpoints(test.entries);
  test.Advance();
  const auto unheld = test.keys.UnheldRanges();
  REQUIRE(unheld.size() == 1);
  CHECK(unheld.front().until <= granted + kTiming.LongestHold());
  // Nobody answers the release, so the keys are free when the grant ends.
  CHECK(unheld.front().until >= granted + kTiming.hold);
}

TEST_CASE("hot keys move to a free endpoint") {
  bench test(3);
  test.Settle();
  std::vector<shard_load> loads;
  for (shard_key key = 100; key < 200; ++key) {
    loads.push_back({key, 0.04});
  }
  const endpoint_instance owner = test.keys.table().Find(150)->owner;
  for (int round = 0; round < 20; ++round) {
    test.keys.SetLoads(loads, {});
    test.now += milliseconds(300);
    test.Settle();
  }
  CHECK((test.keys.table().Find(100)->owner != owner ||
         test.keys.table().Find(199)->owner != owner));
  CHECK(test.keys.table().Unassigned().empty());
}

// An endpoint as the platform has it: it holds a range for the term of a grant
// from its arrival, refuses lower fences and forgets all when it starts anew.
struct model_endpoint {
  struct holding {
    key_range range;
    epoch fence;
    instant until;
  };

  bool Grant(const key_grant& grant, instant arrived, instant now) {
    for (const holding& each : seen) {
      if (each.range.Overlaps(grant.range) && grant.fence < each.fence) {
        return false;
      }
    }
    seen.push_back({grant.range, grant.fence, instant()});
    // Its clock runs 2% slow.
    const instant until =
        arrived + std::chrono::duration_cast<duration>(grant.hold * 1.02);
    if (now < until) {
      held.push_back({grant.range, grant.fence, until});
    }
    return true;
  }
  void Release(const key_range& range, instant now) {
    std::vector<holding> rest;
    for (const holding& each : held) {
      for (const key_range& left : each.range.Without(range)) {
        rest.push_back({left, each.fence, each.until});
      }
    }
    held = rest;
    std::erase_if(held,
                  [now](const holding& each) { return each.until <= now; });
  }
  bool Holds(shard_key key, instant now) const {
    return std::any_of(held.begin(), held.end(), [&](const holding& each) {
      return each.range.Contains(key) && now < each.until;
    });
  }

  std::vector<holding> held;
  std::vector<holding> seen;
};

// Random faults for one coordinator after the other: orders that are lost,
// unanswered or carried out late, endpoints that vanish, drain and start anew,
// writes without an answer. Guards against two endpoints holding one key.
class random_world {
 public:
  explicit random_world(std::uint32_t seed) : random_(seed), keys_(kTiming) {
    for (int i = 0; i < 6; ++i) {
      entries_.push_back(Entry(i));
    }
    keys_.TakeOver(key_table(), store_version(), kStart, kStart);
  }

  // The greatest number of endpoints that held one key at the same time.
  int Run(seconds length) {
    int most = 0;
    for (; now_ < kStart + length; now_ += milliseconds(25)) {
      Disturb();
      Deliver();
      keys_.SetEndpoints(VisibleEntries());
      for (const coordinator_action& action :
           keys_.Advance(now_ + kTiming.authority, true, now_)) {
        Execute(action);
      }
      most = std::max(most, MostHolders());
    }
    return most;
  }

  std::uint64_t granted() const { return granted_; }
  std::uint64_t written() const { return revision_; }

 private:
  struct travelling_grant {
    send_grant order;
    instant sent;
    std::uint64_t term = 0;
    instant arrives;
  };
  struct late_grant {
    endpoint_instance to;
    key_grant grant;
    instant arrived;
    instant at;
  };

  bool Chance(double probability) {
    return std::bernoulli_distribution(probability)(random_);
  }
  int Pick(int count) {
    return std::uniform_int_distribution<int>(0, count - 1)(random_);
  }

  void Disturb() {
    if (Chance(0.01)) {
      const auto which = static_cast<std::size_t>(Pick(6));
      fleet_endpoint& entry = entries_[which];
      switch (Pick(5)) {
        case 0:
          entry.draining = true;
          break;
        case 3:
          away_ = entry.instance;
          away_until_ = now_ + milliseconds(100 * Pick(30));
          break;
        case 1:
          // The process ends; a new one starts at its address.
          endpoints_.erase(entry.instance);
          stale_ = entry;
          stale_until_ = now_ + milliseconds(100 * Pick(20));
          entry = Entry(static_cast<int>(which), ++run_);
          break;
        case 2:
          entry.draining = false;
          break;
        default:
          silent_until_ = now_ + milliseconds(500 * Pick(10));
          silent_ = entry.instance;
          break;
      }
    }
    if (Chance(0.05)) {
      std::vector<shard_load> loads;
      const int hot = Pick(60'000);
      for (int key = hot; key < hot + 50; ++key) {
        loads.push_back({static_cast<shard_key>(key), 0.1});
      }
      keys_.SetLoads(loads, {});
    }
    if (Chance(0.002)) {
      // Another daemon takes the role over; the former one has stopped now.
      const bool known = Chance(0.5);
      const instant until = now_;
      keys_ = key_coordinator(kTiming);
      keys_.TakeOver(stored_, store_version(revision_),
                     known ? std::optional(until) : std::nullopt, now_);
      former_until_ = known ? instant::max() : now_ + seconds(3);
      ++term_;
      pending_.clear();
    }
    if (now_ >= former_until_) {
      keys_.SetFormerUntil(now_);
    }
  }

  void Execute(const coordinator_action& action) {
    std::visit(overloaded{[&](const send_grant& order) { Send(order); },
                          [&](const send_release& order) { Send(order); },
                          [&](const write_key_table& order) { Write(order); },
                          [](const resign_coordinator&) {}},
               action);
  }

  // Orders name an endpoint by its id, so that its present process gets them.
  endpoint_instance ReceiverOf(const endpoint_instance& named) const {
    const auto found = std::find_if(
        entries_.begin(), entries_.end(), [&](const fleet_endpoint& each) {
          return each.instance.endpoint == named.endpoint;
        });
    return found == entries_.end() ? named : found->instance;
  }

  // Entries as the coordinator knows them: that of a living endpoint may be
  // away, and that of a new process may not have come yet.
  std::vector<fleet_endpoint> VisibleEntries() const {
    std::vector<fleet_endpoint> visible = entries_;
    if (now_ < stale_until_) {
      for (fleet_endpoint& each : visible) {
        if (each.instance.endpoint == stale_.instance.endpoint) {
          each = stale_;
        }
      }
    }
    if (now_ < away_until_) {
      std::erase_if(visible, [this](const fleet_endpoint& each) {
        return each.instance == away_;
      });
    }
    return visible;
  }

  bool Reaches(const endpoint_instance& instance) const {
    return !(instance == silent_ && now_ < silent_until_);
  }

  // Grants of a former coordinator arrive too; nobody waits for their answers.
  void Send(const send_grant& order) {
    const bool at_once = Chance(0.5);
    const auto longest = static_cast<int>(kTiming.call_timeout.count());
    travelling_.push_back(
        {order, now_, term_, now_ + milliseconds(at_once ? 0 : Pick(longest))});
  }

  void Arrive(const travelling_grant& travelling) {
    const send_grant& order = travelling.order;
    grant_reply reply{std::nullopt, true};
    const endpoint_instance receiver = ReceiverOf(order.endpoint);
    if (!Reaches(order.endpoint)) {
      reply.sent = Chance(0.5);
    } else if (Chance(0.1)) {
      // Taken, but answered by nobody and carried out seconds later.
      late_.push_back({receiver, order.grant, now_,
                       now_ + milliseconds(2'000 + Pick(10'000))});
    } else if (IsUp(receiver)) {
      ++granted_;
      const bool accepted = endpoints_[receiver].Grant(order.grant, now_, now_);
      if (!Chance(0.05)) {
        reply.verdict =
            accepted ? grant_verdict::kAccepted : grant_verdict::kSuperseded;
      }
    }
    if (travelling.term == term_) {
      keys_.OnGrantReply(order, travelling.sent, reply, now_);
    }
  }

  void Send(const send_release& order) {
    std::optional<std::string> handover;
    const endpoint_instance receiver = ReceiverOf(order.endpoint);
    if (Reaches(order.endpoint) && IsUp(receiver)) {
      endpoints_[receiver].Release(order.release.range, now_);
      if (!Chance(0.1)) {
        handover = "token";
      }
    }
    // The endpoint answers when the work has ended.
    pending_.emplace_back([this, order, handover, term = term_] {
      if (term == term_) {
        keys_.OnReleaseReply(order, handover, now_);
      }
    });
  }

  void Write(const write_key_table& order) {
    const bool fits = order.expected.value() == revision_;
    const bool lost = Chance(0.1);
    if (fits && !(lost && Chance(0.5))) {
      stored_ = order.table;
      ++revision_;
    }
    if (lost) {
      keys_.OnWriteUnknown();
    } else if (fits || stored_ == order.table) {
      keys_.OnWritten(store_version(revision_), now_);
    } else {
      keys_.OnNotWritten(stored_, store_version(revision_), now_);
    }
  }

  void Deliver() {
    const auto arrived = std::stable_partition(
        travelling_.begin(), travelling_.end(),
        [this](const travelling_grant& each) { return each.arrives > now_; });
    const std::vector<travelling_grant> due(arrived, travelling_.end());
    travelling_.erase(arrived, travelling_.end());
    for (const travelling_grant& each : due) {
      Arrive(each);
    }
    auto pending = std::move(pending_);
    pending_.clear();
    for (auto& each : pending) {
      if (Chance(0.3)) {
        each();
      } else {
        pending_.push_back(std::move(each));
      }
    }
    for (auto each = late_.begin(); each != late_.end();) {
      if (each->at > now_) {
        ++each;
        continue;
      }
      if (IsUp(each->to)) {
        endpoints_[each->to].Grant(each->grant, each->arrived, now_);
      }
      each = late_.erase(each);
    }
  }

  bool IsUp(const endpoint_instance& instance) const {
    return std::any_of(
        entries_.begin(), entries_.end(),
        [&](const fleet_endpoint& each) { return each.instance == instance; });
  }

  int MostHolders() const {
    int most = 0;
    for (std::uint32_t key = 0; key < 65'536; key += 97) {
      int holders = 0;
      for (const auto& [instance, endpoint] : endpoints_) {
        holders += endpoint.Holds(static_cast<shard_key>(key), now_) ? 1 : 0;
      }
      most = std::max(most, holders);
    }
    return most;
  }

  std::mt19937 random_;
  key_coordinator keys_;
  std::vector<fleet_endpoint> entries_;
  std::map<endpoint_instance, model_endpoint> endpoints_;
  std::vector<travelling_grant> travelling_;
  std::vector<late_grant> late_;
  std::vector<std::function<void()>> pending_;
  instant now_ = kStart;
  key_table stored_;
  std::uint64_t revision_ = 0;
  std::uint64_t run_ = 1;
  std::uint64_t term_ = 0;
  std::uint64_t granted_ = 0;
  endpoint_instance silent_;
  instant silent_until_;
  fleet_endpoint stale_;
  instant stale_until_;
  endpoint_instance away_;
  instant away_until_;
  instant former_until_ = instant::max();
};

TEST_CASE("no key has two holders, whatever is lost, late or replaced") {
  std::uint64_t granted = 0;
  for (std::uint32_t seed = 1; seed <= 30; ++seed) {
    random_world world(seed);
    INFO("seed " << seed);
    CHECK(world.Run(seconds(60)) <= 1);
    granted += world.granted();
  }
  CHECK(granted > 5'000);
}

}  // namespace
}  // namespace bluebell
