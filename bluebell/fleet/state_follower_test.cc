#include "bluebell/fleet/state_follower.h"

#include <algorithm>
#include <array>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "bluebell/fleet/change_log.h"

namespace bluebell {
namespace {

const instant kStart = instant(seconds(1'000));
const address kFirst = address::Parse("10.0.0.1:7200").value();
const address kSecond = address::Parse("10.0.0.2:7200").value();

fleet_update Confirmed(std::uint64_t number, std::uint32_t age_ms) {
  fleet_update update;
  update.number = number;
  update.confirmed = true;
  update.confirmed_age_ms = age_ms;
  return update;
}

state_follower Started() {
  state_follower follower;
  follower.Start({kFirst, kSecond}, kStart);
  return follower;
}

std::optional<ask_relay> Asks(state_follower& follower, instant now) {
  const follower_action action = follower.Next(now);
  const auto* ask = std::get_if<ask_relay>(&action);
  return ask == nullptr ? std::nullopt : std::optional(*ask);
}

TEST_CASE("a follower asks its first relay at intervals") {
  state_follower follower = Started();
  const auto first = Asks(follower, kStart);
  REQUIRE(first);
  CHECK(first->relay == kFirst);
  const instant answered = kStart + milliseconds(3);
  CHECK(follower.OnUpdate(kFirst, Confirmed(first->number, 100), answered));
  CHECK(follower.confirmed_at() == kStart);
  CHECK(follower.Next(answered) ==
        follower_action(wait_until{kStart + state_follower::kPollInterval}));
  CHECK(Asks(follower, kStart + state_follower::kPollInterval));
}

// Guards against a daemon that follows a relay that is alive but cut off from
// the store.
TEST_CASE("a relay that merely answers doesn't confirm the state") {
  state_follower follower = Started();
  for (instant now = kStart; now < kStart + state_follower::kMaxUnconfirmed;
       now += milliseconds(10)) {
    CHECK(!follower.NeedsStore(now));
    if (const auto ask = Asks(follower, now)) {
      const auto age = std::chrono::duration_cast<milliseconds>(now - kStart);
      CHECK(follower.OnUpdate(
          ask->relay,
          Confirmed(ask->number, static_cast<std::uint32_t>(age.count())),
          now));
    }
  }
  CHECK(follower.NeedsStore(kStart + state_follower::kMaxUnconfirmed));
}

TEST_CASE("a silent or unconfirmed relay is left for the next one") {
  state_follower follower = Started();
  const auto first = Asks(follower, kStart);
  REQUIRE(first);
  SECTION("silent") {
    const auto next = Asks(follower, kStart + state_follower::kReplyTimeout);
    REQUIRE(next);
    CHECK(next->relay == kSecond);
  }
  SECTION("unconfirmed") {
    fleet_update update;
    update.number = first->number;
    CHECK(!follower.OnUpdate(kFirst, update, kStart));
    const auto next = Asks(follower, kStart);
    REQUIRE(next);
    CHECK(next->relay == kSecond);
    update.number = next->number;
    CHECK(!follower.OnUpdate(kSecond, update, kStart));
    // Both have been asked.
    CHECK(!Asks(follower, kStart));
  }
}

// Guards against a late or foreign update that confirms a state that it
// doesn't describe.
TEST_CASE("only the update to the latest request counts") {
  state_follower follower = Started();
  const auto first = Asks(follower, kStart);
  REQUIRE(first);
  CHECK(!follower.OnUpdate(kSecond, Confirmed(first->number, 0), kStart));
  CHECK(!follower.OnUpdate(kFirst, Confirmed(first->number + 1, 0), kStart));
  const instant later = kStart + state_follower::kReplyTimeout;
  REQUIRE(Asks(follower, later));
  CHECK(!follower.OnUpdate(kFirst, Confirmed(first->number, 0), later));
  CHECK(follower.confirmed_at() == kStart);
}

TEST_CASE("a partial update is followed by the next request at once") {
  state_follower follower = Started();
  const auto first = Asks(follower, kStart);
  REQUIRE(first);
  fleet_update update = Confirmed(first->number, 0);
  update.has_more = true;
  update.scopes = {{1, 2, {{"daemons/a", "entry", false, 2, true}}}};
  const instant now = kStart + milliseconds(2);
  CHECK(follower.OnUpdate(kFirst, update, now));
  CHECK(follower.confirmed_at() == kStart);
  CHECK(Asks(follower, now));
}

// Guards against a follower that hears of a change late because no update can
// carry it, for example a configuration with very many routes.
TEST_CASE("a change too large for an update sends the follower to the store") {
  change_log log({"config/", "daemons/"});
  log.Reset(store_version(1));
  log.Append("config/",
             {kv_item{"config/routes", std::string(100'000, 'x'),
                      store_version(5), kv_lease()}},
             store_version(5));
  state_follower follower = Started();
  const auto first = Asks(follower, kStart);
  REQUIRE(first);
  const auto changes = log.ChangesAfter({1, 1}, 24'000);
  REQUIRE(changes);
  fleet_update update = Confirmed(first->number, 0);
  update.has_more = changes->has_more;
  update.scopes = changes->scopes;
  const instant now = kStart + milliseconds(2);
  CHECK(!follower.OnUpdate(kFirst, update, now));
  CHECK(follower.NeedsStore(now));
  CHECK(follower.misses_large_change());
  // Without the store, it doesn't ask again before the next interval.
  CHECK(!Asks(follower, now));
  follower.Start({kFirst, kSecond}, now);
  CHECK(!follower.NeedsStore(now));
}

TEST_CASE("without relays a daemon needs the store") {
  state_follower follower = Started();
  follower.SetRelays({});
  CHECK(follower.NeedsStore(kStart));
  CHECK(!Asks(follower, kStart));
}

// One relay of the random run: it watches the store unless it is cut off from
// it, and forgets its changes when it restarts.
struct relay_model {
  address where;
  change_log log{{""}};
  instant confirmed_at = kStart;
  bool reaches_store = true;
  bool running = true;
};

struct datagram {
  instant arrives;
  address to;
  fleet_update_request request;
  fleet_update update;
};

// Plays a store that changes, relays that end, restart and lose the store, and
// datagrams that are lost, repeated and late. Whenever the follower doesn't
// need the store, it has all changes older than the bound, in order.
void PlayRandomRun(unsigned seed) {
  std::minstd_rand random(seed);
  const auto chance = [&](unsigned one_in) { return random() % one_in == 0; };
  const address self = address::Parse("10.0.0.9:7200").value();
  std::vector<std::pair<std::uint64_t, instant>> store;
  std::array<relay_model, 2> relays{{{kFirst}, {kSecond}}};
  for (relay_model& relay : relays) {
    relay.log.Reset(store_version(1));
  }
  std::uint64_t revision = 1;
  std::uint64_t known = 1;
  state_follower follower = Started();
  std::deque<datagram> network;
  std::size_t confirmed_steps = 0;
  const auto send = [&](datagram message, instant now) {
    for (int copies = chance(8) ? 0 : (chance(8) ? 2 : 1); copies > 0;
         --copies) {
      message.arrives =
          now + milliseconds(1 + random() % (chance(10) ? 600 : 4));
      network.push_back(message);
    }
  };
  for (instant now = kStart; now < kStart + seconds(60);
       now += milliseconds(5)) {
    if (chance(60)) {
      store.emplace_back(++revision, now);
    }
    for (relay_model& relay : relays) {
      if (chance(1'500)) {
        relay.running = !relay.running;
        relay.log = change_log({""});
        relay.log.Reset(store_version(revision));
      }
      if (chance(800)) {
        relay.reaches_store = !relay.reaches_store;
      }
      if (relay.running && relay.reaches_store) {
        std::vector<kv_event> events;
        events.reserve(store.size());
        for (const auto& [each, time] : store) {
          events.emplace_back(kv_item{"k", std::to_string(each),
                                      store_version(each), kv_lease()});
        }
        relay.log.Append("", events, store_version(revision));
        relay.confirmed_at = now;
      }
    }
    for (std::size_t i = network.size(); i > 0; --i) {
      const datagram message = network.front();
      network.pop_front();
      if (now < message.arrives) {
        network.push_back(message);
        continue;
      }
      for (relay_model& relay : relays) {
        if (relay.where != message.to || !relay.running) {
          continue;
        }
        datagram reply{now, self, {}, {}};
        reply.request.positions = {relay.where == kFirst ? 1U : 2U};
        reply.update.number = message.request.number;
        const auto changes =
            relay.log.ChangesAfter(message.request.positions, 200);
        if (changes) {
          reply.update.confirmed = true;
          reply.update.confirmed_age_ms = static_cast<std::uint32_t>(
              std::chrono::duration_cast<milliseconds>(now - relay.confirmed_at)
                  .count());
          reply.update.has_more = changes->has_more;
          reply.update.scopes = changes->scopes;
        }
        send(reply, now);
      }
      const bool is_update = message.to == self;
      const address from =
          is_update && message.request.positions[0] == 1U ? kFirst : kSecond;
      if (is_update && follower.OnUpdate(from, message.update, now)) {
        const scope_changes& scope = message.update.scopes[0];
        CHECK(scope.after <= known);
        for (const fleet_change& change : scope.changes) {
          if (change.revision > known) {
            CHECK(change.revision == known + 1);
            known = change.revision;
          }
        }
        CHECK(scope.up_to >= known);
      }
    }
    if (follower.NeedsStore(now)) {
      // The daemon reads the store and follows again.
      known = revision;
      follower.Start({kFirst, kSecond}, now);
    }
    if (const auto ask = Asks(follower, now)) {
      send({now, ask->relay, {ask->number, {known}}, {}}, now);
    }
    const auto missed =
        std::find_if(store.begin(), store.end(),
                     [&](const auto& each) { return each.first > known; });
    if (missed != store.end()) {
      CHECK(now - missed->second <= state_follower::kMaxUnconfirmed);
    }
    confirmed_steps += now - follower.confirmed_at() < seconds(1) ? 1 : 0;
  }
  CHECK(confirmed_steps > 0);
}

TEST_CASE("in random runs a follower is never older than its bound") {
  for (unsigned seed = 1; seed <= 40; ++seed) {
    CAPTURE(seed);
    PlayRandomRun(seed);
  }
}

}  // namespace
}  // namespace bluebell
