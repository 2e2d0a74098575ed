#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <catch2/catch.hpp>

#include "bluebell/core/overloaded.h"
#include "bluebell/fleet/store_keys.h"
#include "bluebell/gateway/era_succession.h"
#include "bluebell/gateway/former_coordinators.h"
#include "bluebell/gateway/role_claim.h"
#include "bluebell/keyspace/key_coordinator.h"
#include "bluebell/keyspace/model_endpoint.h"

namespace bluebell {
namespace {

const key_timing kTiming;
const instant kStart = instant(seconds(1'000));
const service_name kService("tracker");
constexpr milliseconds kStep{20};
constexpr int kEndpoints = 4;

// What a store that comes back from an older copy returns to.
struct store_copy {
  std::map<std::string, kv_item> items;
  std::map<std::uint64_t, instant> leases;
  std::uint64_t revision = 1;
};

// Keeps a copy of each step. Revisions and leases are those of the store.
class model_store {
 public:
  void Advance(instant now) {
    std::erase_if(copy.leases, [&](const auto& lease) {
      if (lease.second > now) {
        return false;
      }
      std::erase_if(copy.items, [&](const auto& item) {
        return item.second.lease.id() == lease.first;
      });
      return true;
    });
    copies_.push_back(copy);
  }
  void RollBack(milliseconds age) {
    const auto steps = std::min<std::size_t>(
        static_cast<std::size_t>(age / kStep), copies_.size() - 1);
    copies_.resize(copies_.size() - steps);
    copy = copies_.back();
    era = store_era(era.value() + 1);
  }
  std::vector<kv_item> List() const {
    std::vector<kv_item> items;
    for (const auto& [key, item] : copy.items) {
      items.push_back({key, item.value, VersionIn(era, item.revision.value()),
                       kv_lease(item.lease.id(), era)});
    }
    return items;
  }
  kv_lease StartLease(instant now) {
    copy.leases[++copy.revision] = now + milliseconds(1'200);
    return kv_lease(copy.revision, era);
  }
  // As the store carries it out, which knows of no eras.
  std::optional<store_version> Write(const kv_write& write) {
    for (const kv_condition& condition : write.conditions) {
      const auto found = copy.items.find(condition.key);
      const std::uint64_t revision =
          found == copy.items.end() ? 0 : found->second.revision.value();
      if (revision != RevisionIn(condition.revision)) {
        return std::nullopt;
      }
    }
    ++copy.revision;
    for (const kv_put& put : write.puts) {
      copy.items[put.key] = {put.key, put.value, store_version(copy.revision),
                             put.lease};
    }
    return VersionIn(era, copy.revision);
  }

  store_copy copy;
  store_era era;

 private:
  std::deque<store_copy> copies_;
};

// The endpoints, the store and the orders that are under way.
struct world {
  explicit world(std::uint32_t seed) : random(seed) {
    for (int i = 0; i < kEndpoints; ++i) {
      Replace(i);
    }
  }
  bool Chance(double probability) {
    return std::bernoulli_distribution(probability)(random);
  }
  milliseconds Delay(int longest) {
    return milliseconds(std::uniform_int_distribution<>(0, longest)(random));
  }
  // Another process takes the address of the endpoint.
  void Replace(int number) {
    fleet_endpoint& entry = entries[static_cast<std::size_t>(number)];
    entry.instance = {endpoint_id("i-" + std::to_string(++started)),
                      incarnation(static_cast<std::uint64_t>(started))};
    entry.service = kService;
    entry.slots = 2;
    entry.where =
        address::Parse("10.0.0.1:" + std::to_string(8'000 + number)).value();
    models.at(static_cast<std::size_t>(number)) =
        model_endpoint(release_policy::kAwaitsAllWork, 1.02);
  }
  model_endpoint* Find(const endpoint_instance& instance) {
    for (std::size_t i = 0; i < entries.size(); ++i) {
      if (entries[i].instance == instance) {
        return &models[i];
      }
    }
    return nullptr;
  }
  // Carries a grant out.
  grant_verdict Arrive(const send_grant& order) {
    model_endpoint* owner = Find(order.endpoint);
    if (owner == nullptr || !owner->Grant(order.grant, now, now)) {
      return grant_verdict::kRejected;
    }
    ++grants;
    for (model_endpoint& other : models) {
      const bool holds_too =
          &other != owner && other.MayHold(order.grant.range, now);
      held_twice += holds_too ? 1 : 0;
    }
    return grant_verdict::kAccepted;
  }

  std::mt19937 random;
  instant now = kStart;
  model_store store;
  std::array<fleet_endpoint, kEndpoints> entries;
  std::vector<model_endpoint> models{
      kEndpoints, model_endpoint(release_policy::kAwaitsAllWork, 1.02)};
  std::multimap<instant, std::function<void()>> events;
  int started = 0;
  int grants = 0;
  int held_twice = 0;
};

// A daemon that claims the role and orders as coordinator_role does.
class model_coordinator {
 public:
  model_coordinator(world& around, int number)
      : world_(around),
        self_{daemon_id("front-" + std::to_string(number)), incarnation(1)} {}

  void Cut(instant until) { cut_until_ = until; }
  void Kill() {
    Stop();
    self_.run = incarnation(self_.run.value() + 1);
    succession_ = era_succession(kTiming);
    cut_until_ = world_.now + milliseconds(500);
  }
  bool has_role() const { return has_role_; }

  void Step() {
    const instant now = world_.now;
    if (now >= cut_until_ && now >= next_call_) {
      next_call_ = now + milliseconds(has_role_ ? 340 : 100);
      ObserveEra();
      if (has_role_) {
        KeepRole();
      } else {
        Claim();
      }
    }
    if (has_role_ && silent_until_ && now >= *silent_until_ && Reaches()) {
      EndSilence();
    }
    if (has_role_ && !silent_until_) {
      Order();
    }
  }

 private:
  bool Reaches() {
    if (world_.now < cut_until_) {
      return false;
    }
    ObserveEra();
    return has_role_;
  }
  void ObserveEra() {
    era_ = world_.store.era;
    const bool knows = has_role_ && !silent_until_ &&
                       world_.now < proven_at_ + kTiming.authority_duration;
    if (succession_.OnEra(era_, knows, world_.now) == era_verdict::kStops &&
        has_role_ && asserted_era_ < era_) {
      Stop();
    }
  }
  void Stop() {
    has_role_ = false;
    silent_until_.reset();
    ++term_;
  }
  std::map<service_name, key_table> Tables(store_version& revision) const {
    std::map<service_name, key_table> tables;
    for (const kv_item& item : world_.store.List()) {
      if (item.key == TableKey(kService)) {
        tables.emplace(kService, key_table::FromJson(item.value).value());
        revision = item.revision;
      }
    }
    return tables;
  }
  static std::vector<coordinator_record> History(
      const std::vector<kv_item>& items) {
    for (const kv_item& item : items) {
      if (item.key == kCoordinatorHistoryKey) {
        return DecodeHistory(item.key, item.value).value();
      }
    }
    return {};
  }
  // Writes the claim. Its response may be lost.
  bool WriteClaim(const role_versions& expected) {
    const instant sent_at = world_.now;
    const kv_lease lease = world_.store.StartLease(sent_at);
    const auto written = world_.store.Write(
        ClaimWrite(expected, self_, formers_.pending(), lease));
    if (!written || world_.Chance(0.1)) {
      return false;
    }
    claim_ = {{*written, *written}, lease};
    proven_at_ = sent_at;
    formers_.SetAuthorityUntil(sent_at + kTiming.authority_duration,
                               kTiming.MaxGrantLifetime());
    return true;
  }
  void Claim() {
    const std::vector<kv_item> items = world_.store.List();
    const role_versions present = FindRoleVersions(items);
    store_version revision;
    const auto tables = Tables(revision);
    const bool settled = AreSettled(tables, {kService}, era_);
    if (present.coordinator != store_version() ||
        !succession_.MayClaim(settled, world_.now)) {
      return;
    }
    formers_ = former_coordinators::FromHistory(History(items), present.history,
                                                self_);
    if (!settled) {
      formers_.AddLostHistory(era_);
    }
    if (!WriteClaim(present)) {
      return;
    }
    has_role_ = true;
    ++term_;
    asserted_era_ = era_;
    if (!settled) {
      silent_until_ = succession_.SilentUntil(world_.now);
      return;
    }
    keys_ = key_coordinator(kTiming);
    keys_.TakeOver(
        tables.empty() ? key_table() : tables.at(kService), revision,
        formers_.all_excluded() ? std::optional(world_.now) : std::nullopt,
        world_.now);
    if (formers_.has_lost_history()) {
      keys_.OnHistoryLost();
    }
  }
  void KeepRole() {
    if (asserted_era_ != era_) {
      Reclaim();
    } else if (world_.store.copy.leases.contains(claim_.lease.id())) {
      world_.store.copy.leases[claim_.lease.id()] =
          world_.now + milliseconds(1'200);
      proven_at_ = world_.now;
    } else if (!WriteClaim({store_version(), claim_.versions.history})) {
      Stop();
    }
  }
  void Reclaim() {
    const std::vector<kv_item> items = world_.store.List();
    if (IsClaimedByOther(History(items), self_, era_)) {
      Stop();
      return;
    }
    formers_.AddLostHistory(era_);
    if (!WriteClaim(FindRoleVersions(items))) {
      return;
    }
    store_version revision;
    const auto tables = Tables(revision);
    if (!tables.empty() && tables.at(kService).era() >= era_) {
      Stop();
      return;
    }
    asserted_era_ = era_;
    ++term_;
    keys_.Reassert(era_, revision, world_.now);
  }
  void EndSilence() {
    silent_until_.reset();
    store_version revision;
    const auto tables = Tables(revision);
    keys_ = key_coordinator(kTiming);
    keys_.TakeOverCopy(tables.empty() ? key_table() : tables.at(kService), era_,
                       revision, world_.now, world_.now);
  }
  void Order() {
    const instant now = world_.now;
    for (const coordinator_exclusion& each : formers_.Advance({}, now)) {
      if (formers_.all_excluded()) {
        keys_.OnFormerStopped(each.reason == exclusion_reason::kHistoryEnded
                                  ? formers_.authority_until()
                                  : now);
      }
    }
    keys_.SetEndpoints({world_.entries.begin(), world_.entries.end()});
    const bool may_write = now >= cut_until_ && asserted_era_ == era_;
    for (const coordinator_action& action : keys_.Advance(
             proven_at_ + kTiming.authority_duration, may_write, now)) {
      std::visit(overloaded{[&](const send_grant& order) { Send(order); },
                            [&](const send_release& order) { Send(order); },
                            [&](const write_key_table& order) { Write(order); },
                            [](const resign_coordinator&) {}},
                 action);
    }
  }
  void Send(const send_grant& order) {
    const instant sent_at = world_.now;
    const bool lost = world_.Chance(0.1);
    world_.events.emplace(sent_at + world_.Delay(400), [=, this] {
      const grant_verdict verdict = world_.Arrive(order);
      if (has_role_ && !lost) {
        keys_.OnGrantReply(order, sent_at, {verdict, true}, world_.now);
      }
    });
    if (lost) {
      world_.events.emplace(sent_at + kTiming.call_timeout, [=, this] {
        keys_.OnGrantReply(order, sent_at, {std::nullopt, true}, world_.now);
      });
    }
  }
  void Send(const send_release& order) {
    world_.events.emplace(
        world_.now + world_.Delay(100), [=, this, term = term_] {
          model_endpoint* owner = world_.Find(order.endpoint);
          if (term != term_ || owner == nullptr) {
            return;
          }
          owner->Release(order.release.range, world_.now);
          keys_.OnReleaseReply(order, std::string(), world_.now);
        });
  }
  void Write(const write_key_table& order) {
    const auto written = world_.store.Write(
        {{{std::string(kCoordinatorKey), claim_.versions.coordinator},
          {TableKey(kService), order.expected}},
         {{TableKey(kService), order.table.ToJson(), kv_lease()}}});
    // A response arrives later, and some never.
    const instant known_at = world_.now + world_.Delay(300);
    const bool lost = world_.Chance(0.2);
    world_.events.emplace(known_at, [=, this, term = term_] {
      if (term != term_ || !has_role_) {
        return;
      }
      if (lost || asserted_era_ != world_.store.era) {
        keys_.OnWriteUnknown();
      } else if (written) {
        keys_.OnWritten(*written, world_.now);
      } else {
        OnConflict(order);
      }
    });
  }
  void OnConflict(const write_key_table& order) {
    store_version revision;
    const auto tables = Tables(revision);
    const key_table current =
        tables.empty() ? key_table() : tables.at(kService);
    if (current == order.table && revision != order.expected) {
      keys_.OnWritten(revision, world_.now);
    } else {
      keys_.OnNotWritten(current, revision, world_.now);
    }
  }

  world& world_;
  daemon_instance self_;
  instant cut_until_;
  instant next_call_;
  store_era era_;
  store_era asserted_era_;
  era_succession succession_{kTiming};
  former_coordinators formers_;
  key_coordinator keys_{kTiming};
  role_claim claim_;
  instant proven_at_;
  std::optional<instant> silent_until_;
  bool has_role_ = false;
  std::uint64_t term_ = 0;
};

// Runs coordinators for 45 s with rollbacks, cuts, kills and new processes of
// endpoints.
world Simulate(std::uint32_t seed) {
  world around(seed);
  std::vector<model_coordinator> coordinators;
  const int count = seed % 2 == 0 ? 2 : 3;
  coordinators.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    coordinators.emplace_back(around, i);
  }
  const auto any = [&]() -> model_coordinator& {
    return coordinators[around.random() % coordinators.size()];
  };
  bool rolled_back = false;
  for (; around.now < kStart + seconds(45); around.now += kStep) {
    around.store.Advance(around.now);
    if (around.Chance(rolled_back ? 0.02 : 0.0015)) {
      around.store.RollBack(milliseconds(100) + around.Delay(9'900));
      // Sometimes another one follows soon.
      rolled_back = !rolled_back && around.Chance(0.4);
      for (model_coordinator& each : coordinators) {
        if (around.Chance(each.has_role() ? 0.4 : 0.1)) {
          each.Kill();
        } else if (around.Chance(0.5)) {
          each.Cut(around.now + around.Delay(1'000));
        }
      }
    }
    if (around.Chance(0.004)) {
      any().Cut(around.now + around.Delay(25'000));
    }
    if (around.Chance(0.001)) {
      any().Kill();
    }
    if (around.Chance(0.005)) {
      around.Replace(static_cast<int>(around.random() % kEndpoints));
    }
    if (around.Chance(0.1)) {
      bool& draining = around.entries[around.random() % kEndpoints].draining;
      draining = !draining;
    }
    while (!around.events.empty() &&
           around.events.begin()->first <= around.now) {
      around.events.extract(around.events.begin()).mapped()();
    }
    for (model_coordinator& each : coordinators) {
      each.Step();
    }
  }
  around.events.clear();
  return around;
}

// Failure: after a rollback of the store, two endpoints hold one key: because a
// coordinator grants from an older table, moves keys that another one of the
// lost history has granted, or goes on beside the claimant of the new era.
TEST_CASE("no key has two owners, whatever the store has lost") {
  constexpr std::uint32_t kSeeds = 1'000;
  int grants = 0;
  for (std::uint32_t seed = 0; seed < kSeeds; ++seed) {
    const world run = Simulate(seed);
    INFO("seed " << seed << ", grants " << run.grants);
    CHECK(run.held_twice == 0);
    grants += run.grants;
  }
  // The runs exercise grants at all.
  CHECK(grants > 100'000);
}

}  // namespace
}  // namespace bluebell
