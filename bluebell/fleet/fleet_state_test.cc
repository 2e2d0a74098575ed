#include "bluebell/fleet/fleet_state.h"

#include <set>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "bluebell/core/store_era.h"

#include "bluebell/fleet/store_keys.h"

namespace bluebell {
namespace {

const instant kStart = instant(seconds(1'000));
const service_name kService("tracker");
constexpr seconds kWarmUp{3};

fleet_decoders TestDecoders() {
  return {"entries/",
          "config",
          [](const std::string& key,
             std::string_view value) -> result<fleet_endpoint> {
            if (value == "bad") {
              return error(errc::kMalformedMessage, step::kReadHosts, key, "");
            }
            fleet_endpoint entry;
            entry.instance.endpoint = endpoint_id(key.substr(8));
            entry.instance.run = incarnation(value == "later run" ? 1 : 0);
            entry.draining = value == "draining";
            entry.domain = domain_name(value == "in west" ? "west" : "east");
            entry.service = kService;
            return entry;
          },
          [](std::string_view value) -> result<route_config> {
            fleet_service service;
            service.name = kService;
            service.warm_up = kWarmUp;
            return route_config::Make(
                config_version(std::stoull(std::string(value))), {}, {service},
                {});
          },
          "operators/",
          "operators/evacuate/"};
}

kv_item Item(const std::string& key,
             const std::string& value,
             std::uint64_t revision) {
  return {key, value, store_version(revision), kv_lease()};
}

TEST_CASE("a malformed entry removes its endpoint only") {
  fleet_state state(TestDecoders());
  state.ApplyListing({Item("entries/a", "ok", 1), Item("entries/b", "bad", 2),
                      Item("entries/c", "draining", 3)},
                     store_version(3), kStart);
  CHECK(state.snapshot().endpoints.size() == 2);
  CHECK(state.snapshot().endpoints.at(endpoint_id("c")).draining);
  CHECK(state.TakeErrors().size() == 1);
  state.Apply(Item("entries/a", "bad", 4), kStart);
  CHECK(!state.snapshot().endpoints.contains(endpoint_id("a")));
}

TEST_CASE("an older configuration never replaces a newer one") {
  fleet_state state(TestDecoders());
  state.Apply(Item("config", "7", 1), kStart);
  state.Apply(Item("config", "5", 2), kStart);
  CHECK(state.snapshot().config->version() == config_version(7));
  CHECK(state.TakeErrors().size() == 1);
}

TEST_CASE(
    "an entry that expired in an outage counts until it could be written "
    "again") {
  fleet_state state(TestDecoders());
  state.ApplyListing({Item("entries/a", "ok", 1), Item("entries/b", "ok", 2)},
                     store_version(2), kStart);
  state.OnStoreRecovered(kStart);
  state.Apply(kv_deletion{"entries/a", store_version(3)}, kStart);
  state.Apply(kv_deletion{"entries/b", store_version(4)}, kStart);
  CHECK(state.snapshot().endpoints.size() == 2);
  CHECK(state.snapshot().endpoints.at(endpoint_id("a")).lapsing);
  state.Apply(Item("entries/b", "ok", 5), kStart + seconds(1));
  CHECK(!state.snapshot().endpoints.at(endpoint_id("b")).lapsing);
  const auto lapse = state.NextLapseTime();
  REQUIRE(lapse);
  CHECK(*lapse <= kStart + seconds(2));
  CHECK(state.RemoveLapsed(*lapse));
  CHECK(state.snapshot().endpoints.size() == 1);
  CHECK(state.snapshot().endpoints.contains(endpoint_id("b")));
}

TEST_CASE("an entry that is deleted without an outage removes its endpoint") {
  fleet_state state(TestDecoders());
  state.Apply(Item("entries/a", "ok", 1), kStart);
  state.Apply(kv_deletion{"entries/a", store_version(2)}, kStart);
  CHECK(state.snapshot().endpoints.empty());
}

TEST_CASE("a listing removes values that it lacks and keeps newer changes") {
  fleet_state state(TestDecoders());
  state.Apply(Item("entries/a", "ok", 1), kStart);
  state.Apply(Item("entries/b", "draining", 9), kStart);
  state.ApplyListing({Item("entries/b", "ok", 5)}, store_version(9), kStart);
  CHECK(!state.snapshot().endpoints.contains(endpoint_id("a")));
  CHECK(state.snapshot().endpoints.at(endpoint_id("b")).draining);
}

TEST_CASE(
    "former coordinators stay in the history after their leases have ended") {
  fleet_state state(TestDecoders());
  const daemon_instance first{daemon_id("front-1"), incarnation(5)};
  const std::vector<coordinator_record> history{
      {first, store_version()},
      {{daemon_id("front-2"), incarnation(9)}, store_version(4)}};
  state.Apply(Item(std::string(kCoordinatorKey), EncodeDaemon(first), 1),
              kStart);
  state.Apply(
      Item(std::string(kCoordinatorHistoryKey), EncodeHistory(history), 1),
      kStart);
  CHECK(state.snapshot().coordinator == first);
  state.Apply(kv_deletion{std::string(kCoordinatorKey), store_version(2)},
              kStart);
  CHECK(!state.snapshot().coordinator);
  CHECK(state.coordinator_history() == history);
  state.Apply(Item(std::string(kCoordinatorHistoryKey), "[1]", 3), kStart);
  CHECK(state.coordinator_history() == history);
  CHECK(state.TakeErrors().size() == 1);
}

// Guards against states that look outdated: daemons compare the revisions of
// their states, and only some of them follow the key tables, which change
// several times a second.
TEST_CASE("key tables don't raise the revision of a state") {
  fleet_state state(TestDecoders());
  state.Apply(Item("entries/a", "ok", 5), kStart);
  state.Apply(Item(TableKey(service_name("tracker")), "{}", 8), kStart);
  CHECK(state.snapshot().revision == store_version(5));
  state.Apply(kv_deletion{"entries/a", store_version(9)}, kStart);
  CHECK(state.snapshot().revision == store_version(9));
}

// Guards against a state that looks outdated: a daemon that has just read a
// listing doesn't know the revision of the latest deletion.
TEST_CASE("a listing covers the revisions of deletions") {
  fleet_state state(TestDecoders());
  state.ApplyListing({Item("entries/a", "ok", 5)}, store_version(12), kStart);
  CHECK(state.snapshot().revision == store_version(5));
  CHECK(state.Covers(store_version(12)));
  CHECK(!state.Covers(store_version(13)));
  CHECK(state.RaiseRevisionTo(store_version(9)));
  CHECK(state.snapshot().revision == store_version(9));
  CHECK(!state.RaiseRevisionTo(store_version(9)));
  CHECK(!state.RaiseRevisionTo(store_version(13)));
}

// Guards against a watch of the endpoints that has become silent and isn't
// noticed, because the watch of the daemons' entries goes on: in the seconds
// after a cut these entries change often.
TEST_CASE("changes of the members don't hide a missing change of an endpoint") {
  const daemon_instance first{daemon_id("front-1"), incarnation(5)};
  fleet_state state(TestDecoders());
  state.ApplyListing({Item("entries/a", "ok", 5)}, store_version(10), kStart);
  CHECK(state.CoversEndpoints(store_version(10)));
  // Another daemon knows that "a" is draining since revision 11.
  state.Apply(Item(std::string(kCoordinatorKey), EncodeDaemon(first), 12),
              kStart);
  CHECK(state.Covers(store_version(12)));
  CHECK(!state.CoversEndpoints(store_version(11)));
  state.Apply(Item("entries/a", "draining", 11), kStart);
  CHECK(state.CoversEndpoints(store_version(11)));
}

// Guards against a log that doesn't show when a daemon learned that an endpoint
// has left.
TEST_CASE("endpoints that leave service are noted once, with the cause") {
  const auto departure = [](const char* id, departure_cause cause) {
    return endpoint_departure{endpoint_id(id), cause};
  };
  fleet_state state(TestDecoders());
  state.ApplyListing({Item("entries/a", "ok", 1), Item("entries/b", "ok", 2),
                      Item("entries/c", "ok", 3)},
                     store_version(3), kStart);
  CHECK(state.TakeDepartures().empty());
  state.Apply(Item("entries/a", "draining", 4), kStart);
  state.Apply(Item("entries/a", "draining", 5), kStart);
  state.Apply(kv_deletion{"entries/b", store_version(6)}, kStart);
  CHECK(state.TakeDepartures() ==
        std::vector{departure("a", departure_cause::kDraining),
                    departure("b", departure_cause::kRemoved)});
  state.OnStoreRecovered(kStart);
  state.Apply(kv_deletion{"entries/c", store_version(7)}, kStart);
  CHECK(state.TakeDepartures() ==
        std::vector{departure("c", departure_cause::kLapsing)});
  state.RemoveLapsed(*state.NextLapseTime());
  CHECK(state.TakeDepartures() ==
        std::vector{departure("c", departure_cause::kRemoved)});
}

TEST_CASE("members and key tables are read as they were written") {
  fleet_state state(TestDecoders());
  const fleet_member member{{daemon_id("front-1"), incarnation(5)},
                            domain_name("a"),
                            address::Parse("10.0.0.1:7200").value(),
                            200,
                            false};
  state.Apply(Item(MemberKey(member.instance.id), EncodeMember(member), 1),
              kStart);
  CHECK(state.snapshot().members.at(member.instance.id) == member);
  const key_table table =
      key_table().With({0, 9}, {endpoint_id("a"), incarnation(1)});
  state.Apply(Item(TableKey(service_name("tracker")), table.ToJson(), 2),
              kStart);
  CHECK(state.snapshot().tables.at(service_name("tracker")) == table);
  CHECK(state.RevisionOf(TableKey(service_name("tracker"))) ==
        store_version(2));
  state.Apply(Item(TableKey(service_name("tracker")), "{", 3), kStart);
  CHECK(state.snapshot().tables.at(service_name("tracker")) == table);
  CHECK(state.TakeErrors().size() == 1);
}

// Guards against requests to an endpoint that has announced its end in a
// response while its entry still says "ready".
TEST_CASE("an endpoint that states that it is leaving counts as draining") {
  fleet_state state(TestDecoders());
  state.Apply(Item("entries/a", "ok", 1), kStart);
  const endpoint_instance first =
      state.snapshot().endpoints.at(endpoint_id("a")).instance;
  CHECK(state.RecordLeaving(first, kStart));
  CHECK(state.snapshot().endpoints.at(endpoint_id("a")).draining);
  CHECK(!state.RecordLeaving(first, kStart));
  SECTION("also after its entry is written again or listed") {
    state.Apply(Item("entries/a", "ok", 2), kStart);
    CHECK(state.snapshot().endpoints.at(endpoint_id("a")).draining);
    state.ApplyListing({Item("entries/a", "ok", 3)}, store_version(3), kStart);
    CHECK(state.snapshot().endpoints.at(endpoint_id("a")).draining);
  }
  SECTION("also if its entry was missing meanwhile") {
    state.Apply(kv_deletion{"entries/a", store_version(2)}, kStart);
    state.Apply(Item("entries/a", "ok", 3), kStart);
    CHECK(state.snapshot().endpoints.at(endpoint_id("a")).draining);
  }
  SECTION("but a later process under its id doesn't") {
    state.Apply(Item("entries/a", "later run", 2), kStart);
    CHECK(!state.snapshot().endpoints.at(endpoint_id("a")).draining);
  }
}

TEST_CASE("a leaving endpoint is remembered before its entry is known") {
  fleet_state state(TestDecoders());
  CHECK(!state.RecordLeaving({endpoint_id("a"), incarnation()}, kStart));
  state.Apply(Item("entries/a", "ok", 1), kStart);
  CHECK(state.snapshot().endpoints.at(endpoint_id("a")).draining);
}

// Guards against a daemon that goes back to an older state: a configuration
// that was replaced, or an endpoint that has left.
TEST_CASE("a change older than the known one of its key is ignored") {
  fleet_state state(TestDecoders());
  state.Apply(Item("entries/a", "draining", 5), kStart);
  state.Apply(Item("entries/a", "ok", 4), kStart);
  CHECK(state.snapshot().endpoints.at(endpoint_id("a")).draining);
  state.Apply(kv_deletion{"entries/a", store_version(4)}, kStart);
  CHECK(state.snapshot().endpoints.contains(endpoint_id("a")));
  state.Apply(kv_deletion{"entries/a", store_version(6)}, kStart);
  CHECK(!state.snapshot().endpoints.contains(endpoint_id("a")));
}

// Guards against a relay that hands on less than it learned from a listing.
TEST_CASE("a listing returns the changes that it makes, in order") {
  fleet_state state(TestDecoders());
  state.Apply(Item("entries/a", "ok", 1), kStart);
  state.Apply(Item("entries/b", "ok", 2), kStart);
  const auto changes =
      state.ApplyListing({Item("entries/b", "ok", 2),
                          Item("entries/c", "ok", 7), Item("config", "3", 4)},
                         store_version(9), kStart);
  CHECK(changes == std::vector<kv_event>{
                       Item("config", "3", 4), Item("entries/c", "ok", 7),
                       kv_deletion{"entries/a", store_version(9), false}});
  // The time of the deletion isn't known, so it is no latest change.
  CHECK(state.snapshot().revision == store_version(7));
}

const fleet_endpoint& EndpointIn(const fleet_state& state,
                                 const std::string& id) {
  return state.snapshot().endpoints.at(endpoint_id(id));
}

// Guards against requests and keys that still go to a failure domain that the
// operators evacuate.
TEST_CASE("endpoints of an evacuated failure domain take no requests") {
  fleet_state state(TestDecoders());
  state.Apply(Item("config", "1", 1), kStart);
  state.Apply(Item("entries/a", "in west", 2), kStart);
  state.Apply(Item("entries/b", "ok", 3), kStart);
  state.TakeDepartures();
  state.Apply(Item("operators/evacuate/west", "{}", 4), kStart);
  CHECK(!EndpointIn(state, "a").TakesRequests());
  CHECK(EndpointIn(state, "b").TakesRequests());
  CHECK(state.snapshot().evacuated_domains ==
        std::set<domain_name>{domain_name("west")});
  CHECK(state.TakeDepartures() ==
        std::vector<endpoint_departure>{
            {endpoint_id("a"), departure_cause::kEvacuated}});
  CHECK(state.TakeEvacuationChanges() ==
        std::vector<evacuation_change>{{domain_name("west"), true, 1}});
  SECTION("also one that starts or writes its entry meanwhile") {
    state.Apply(Item("entries/a", "in west", 5), kStart);
    state.Apply(Item("entries/c", "in west", 6), kStart);
    CHECK(!EndpointIn(state, "a").TakesRequests());
    CHECK(!EndpointIn(state, "c").TakesRequests());
  }
  SECTION("several domains can be evacuated at once") {
    state.Apply(Item("operators/evacuate/east", "{}", 5), kStart);
    CHECK(!EndpointIn(state, "b").TakesRequests());
    state.Apply(kv_deletion{"operators/evacuate/west", store_version(6)},
                kStart);
    CHECK(EndpointIn(state, "a").TakesRequests());
    CHECK(!EndpointIn(state, "b").TakesRequests());
  }
  SECTION("until it ends; they are cold then") {
    const instant end = kStart + seconds(20);
    state.Apply(kv_deletion{"operators/evacuate/west", store_version(5)}, end);
    CHECK(EndpointIn(state, "a").TakesRequests());
    CHECK(EndpointIn(state, "a").cold_until == end + kWarmUp);
    CHECK(state.snapshot().evacuated_domains.empty());
    // A later statement of the endpoint goes first.
    state.Apply(Item("entries/a", "in west", 6), end);
    CHECK(EndpointIn(state, "a").cold_until == end);
  }
}

TEST_CASE("a daemon that starts during an evacuation knows of it") {
  fleet_state state(TestDecoders());
  state.ApplyListing({Item("entries/a", "in west", 1),
                      Item("operators/evacuate/west", "{}", 2)},
                     store_version(2), kStart);
  CHECK(!EndpointIn(state, "a").TakesRequests());
}

// Guards against requests to an evacuated domain after the store has come back
// from a copy that is older than the operators' request.
TEST_CASE("an evacuation that the store has lost may be requested again") {
  fleet_state state(TestDecoders());
  state.ApplyListing({Item("entries/a", "in west", 1),
                      Item("operators/evacuate/west", "{}", 2)},
                     store_version(2), kStart);
  state.OnStoreRecovered(kStart);
  state.ApplyListing({Item("entries/a", "in west", 1)}, store_version(3),
                     kStart);
  CHECK(!EndpointIn(state, "a").TakesRequests());
  const instant lapse = *state.NextLapseTime();
  SECTION("and then stays in force") {
    state.Apply(Item("operators/evacuate/west", "{}", 4), kStart);
    CHECK(!state.NextLapseTime());
    CHECK(!state.RemoveLapsed(lapse));
    CHECK(!EndpointIn(state, "a").TakesRequests());
  }
  SECTION("and ends otherwise") {
    CHECK(state.RemoveLapsed(lapse));
    CHECK(EndpointIn(state, "a").TakesRequests());
  }
}

// Guards against a dispatcher that goes back to the owners of an older table
// when the watch delivers the table that this daemon has written.
TEST_CASE("a table that this daemon has written is known before the watch") {
  const key_table table =
      key_table().With(key_range(), {endpoint_id("a"), incarnation(1)});
  const key_table next = table.With({0, 9}, {endpoint_id("b"), incarnation(1)});
  fleet_state state(TestDecoders());
  state.Apply(Item(TableKey(kService), table.ToJson(), 3), kStart);
  CHECK(state.RecordOwnTable(kService, next, store_version(5)));
  CHECK(state.snapshot().tables.at(kService) == next);
  state.Apply(Item(TableKey(kService), table.ToJson(), 4), kStart);
  state.Apply(Item(TableKey(kService), next.ToJson(), 5), kStart);
  CHECK(state.snapshot().tables.at(kService) == next);
  CHECK(!state.RecordOwnTable(kService, table, store_version(5)));
}

// Operators of earlier deployments request no evacuations.
TEST_CASE("no failure domain is evacuated without the operators' prefix") {
  fleet_decoders decoders = TestDecoders();
  decoders.evacuation_prefix.clear();
  fleet_state state(std::move(decoders));
  state.Apply(Item("entries/a", "in west", 1), kStart);
  state.Apply(Item("operators/evacuate/west", "{}", 2), kStart);
  CHECK(EndpointIn(state, "a").TakesRequests());
}

kv_item ItemIn(std::uint64_t era,
               const std::string& key,
               const std::string& value,
               std::uint64_t revision) {
  return {key, value, VersionIn(store_era(era), revision), kv_lease()};
}

// Failure: the store comes back from an older copy, and the daemon returns to
// an older configuration, an older key table, or sends requests to endpoints
// that are evacuated, or forgets the other daemons and the endpoints.
TEST_CASE("an older copy of the store reverts nothing that is in force") {
  const key_table first = key_table().With(key_range(), endpoint_instance());
  const key_table second = first.With(key_range(), endpoint_instance());
  const std::string member =
      EncodeMember({{daemon_id("front-1"), incarnation(1)},
                    domain_name("east"),
                    address::Parse("10.0.0.1:7200").value(),
                    100,
                    false});
  fleet_state state(TestDecoders());
  state.ApplyListing({ItemIn(1, "config", "8", 90),
                      ItemIn(1, "operators/evacuate/west", "", 91),
                      ItemIn(1, "entries/a", "in west", 92),
                      ItemIn(1, TableKey(kService), second.ToJson(), 93),
                      ItemIn(1, MemberKey(daemon_id("front-1")), member, 94)},
                     VersionIn(store_era(1), 95), kStart);
  REQUIRE(state.snapshot().evacuated_domains.size() == 1);
  state.OnStoreRecovered(kStart);
  state.ApplyListing({ItemIn(2, "config", "7", 80),
                      ItemIn(2, TableKey(kService), first.ToJson(), 81)},
                     VersionIn(store_era(2), 85), kStart);
  CHECK(state.snapshot().config->version() == config_version(8));
  CHECK(state.snapshot().tables.at(kService) == second);
  CHECK(state.snapshot().evacuated_domains.size() == 1);
  CHECK(state.snapshot().endpoints.at(endpoint_id("a")).lapsing);
  CHECK(state.snapshot().members.size() == 1);
  REQUIRE(state.NextLapseTime() == kStart + seconds(2));
  // What the first copy's clients wrote again stays.
  state.Apply(ItemIn(2, "operators/evacuate/west", "", 86), kStart);
  state.Apply(ItemIn(2, "entries/a", "in west", 87), kStart);
  state.RemoveLapsed(kStart + seconds(2));
  CHECK(state.snapshot().evacuated_domains.size() == 1);
  CHECK(state.snapshot().endpoints.size() == 1);
  CHECK(state.snapshot().members.empty());
  // A change of the earlier era that arrives late, for example from a relay.
  state.Apply(kv_deletion{"entries/a", VersionIn(store_era(1), 99)}, kStart);
  CHECK(state.snapshot().endpoints.size() == 1);
}

}  // namespace
}  // namespace bluebell
