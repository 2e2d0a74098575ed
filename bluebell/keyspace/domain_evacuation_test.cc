// Tests that the keys of an evacuated failure domain move to the other owners
// in time.

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <catch2/catch.hpp>

#include "bluebell/core/overloaded.h"
#include "bluebell/keyspace/key_coordinator.h"

namespace bluebell {
namespace {

const key_timing kTiming;
const instant kStart = instant(seconds(1'000));
constexpr milliseconds kTick{50};
constexpr milliseconds kRoundTrip{5};
// An endpoint answers a release when its running work on the keys has ended.
constexpr milliseconds kLongestWork{1'200};
constexpr std::size_t kOwnersPerDomain = 50;
constexpr std::size_t kOwnerCount = 3 * kOwnersPerDomain;
// Requests must not reach an evacuated domain later than this. A daemon knows
// of the evacuation 1.9 s after the store's confirmation at the latest.
constexpr milliseconds kEvacuationBound{5'000};
constexpr milliseconds kMaxStateAge{1'900};

// A coordinator of 150 owners of unequal speed in three failure domains, whose
// orders and writes are answered after a delay.
class three_domains {
 public:
  three_domains() : keys_(kTiming) {
    std::vector<shard_load> loads;
    for (std::uint32_t key = 0; key < 65'536; key += 64) {
      loads.push_back({static_cast<shard_key>(key), 0.3});
    }
    std::map<endpoint_id, double> capacities;
    for (std::size_t i = 0; i < kOwnerCount; ++i) {
      entries_.push_back(Entry(i));
      capacities[entries_.back().instance.endpoint] =
          2 + 2.0 * static_cast<double>(i % 3);
    }
    capacities_ = capacities;
    keys_.TakeOver(key_table(), store_version(), now_, now_);
    keys_.SetLoads(loads, capacities);
    Run(seconds(10));
  }

  void Evacuate(const std::string& domain, bool evacuated) {
    for (fleet_endpoint& each : entries_) {
      if (each.domain.value() == domain) {
        each.evacuated = evacuated;
      }
    }
  }

  // The endpoint answers nothing any more.
  void CutOff(std::size_t which) { cut_off_ = entries_[which].instance; }

  // Another daemon coordinates, from the table in the store.
  void ChangeCoordinator() {
    results_.clear();
    keys_.TakeOver(keys_.table(), store_version(revision_), now_, now_);
  }

  void Run(milliseconds length) {
    for (const instant end = now_ + length; now_ < end; now_ += kTick) {
      TakeResults();
      keys_.SetEndpoints(entries_);
      for (const coordinator_action& action :
           keys_.Advance(now_ + kTiming.authority_duration, true, now_)) {
        Carry(action);
      }
    }
  }

  std::size_t RangesIn(const std::string& domain) const {
    return static_cast<std::size_t>(std::count_if(
        keys_.table().assignments().begin(), keys_.table().assignments().end(),
        [&](const key_assignment& each) {
          return DomainOf(each.owner) == domain;
        }));
  }

  // The highest number of keys for the capacity of one owner, relative to the
  // mean of the owners that take keys.
  double HighestShare() const {
    std::map<endpoint_id, double> keys;
    double capacity = 0;
    for (const fleet_endpoint& each : entries_) {
      if (each.TakesRequests()) {
        keys[each.instance.endpoint] = 0;
        capacity += capacities_.at(each.instance.endpoint);
      }
    }
    double all = 0;
    for (const key_assignment& each : keys_.table().assignments()) {
      keys[each.owner.endpoint] += each.range.size();
      all += each.range.size();
    }
    double highest = 0;
    for (const auto& [id, count] : keys) {
      highest = std::max(highest, count / capacities_.at(id));
    }
    return highest / (all / capacity);
  }

  std::size_t unserved_ranges() const { return keys_.UnservedRanges().size(); }

 private:
  static fleet_endpoint Entry(std::size_t number) {
    fleet_endpoint entry;
    entry.instance = {endpoint_id("i-" + std::to_string(number)),
                      incarnation(1)};
    entry.service = service_name("tracker");
    entry.domain = domain_name(std::string(1, "abc"[number % 3]));
    entry.where =
        address::Parse("10.0.0.1:" + std::to_string(8'000 + number)).value();
    return entry;
  }

  std::string DomainOf(const endpoint_instance& owner) const {
    const auto found = std::find_if(
        entries_.begin(), entries_.end(),
        [&](const fleet_endpoint& each) { return each.instance == owner; });
    return found == entries_.end() ? "" : found->domain.value();
  }

  void TakeResults() {
    for (auto next = results_.begin();
         next != results_.end() && next->first <= now_;
         next = results_.erase(next)) {
      next->second();
    }
  }

  void Carry(const coordinator_action& action) {
    std::visit(
        overloaded{[&](const send_grant& order) {
                     const bool answers = order.endpoint != cut_off_;
                     results_.emplace(
                         now_ + (answers ? kRoundTrip : kTiming.call_timeout),
                         [this, order, answers, sent_at = now_] {
                           grant_reply reply;
                           if (answers) {
                             reply.verdict = grant_verdict::kAccepted;
                           }
                           keys_.OnGrantReply(order, sent_at, reply, now_);
                         });
                   },
                   [&](const send_release& order) {
                     const bool answers = order.endpoint != cut_off_;
                     const milliseconds work(order.release.range.first %
                                             kLongestWork.count());
                     results_.emplace(
                         now_ + (answers ? work : kTiming.release_timeout),
                         [this, order, answers] {
                           keys_.OnReleaseReply(
                               order,
                               answers ? std::optional<std::string>("token")
                                       : std::nullopt,
                               now_);
                         });
                   },
                   [&](const write_key_table&) {
                     results_.emplace(now_ + kRoundTrip, [this] {
                       keys_.OnWritten(store_version(++revision_), now_);
                     });
                   },
                   [](const resign_coordinator&) {}},
        action);
  }

  key_coordinator keys_;
  std::vector<fleet_endpoint> entries_;
  std::map<endpoint_id, double> capacities_;
  std::multimap<instant, std::function<void()>> results_;
  instant now_ = kStart;
  endpoint_instance cut_off_;
  std::uint64_t revision_ = 0;
};

// Load: all owners of a failure domain, a third of 150, have to give up their
// keys while work runs on them.
TEST_CASE("keys leave an evacuated domain before the bound") {
  three_domains world;
  REQUIRE(world.RangesIn("b") > 0);
  world.Evacuate("b", true);
  world.Run(kEvacuationBound - kMaxStateAge);
  CHECK(world.RangesIn("b") == 0);
  CHECK(world.unserved_ranges() == 0);
  CHECK(world.HighestShare() < 1.4);
  SECTION("and come back afterwards") {
    world.Evacuate("b", false);
    world.Run(seconds(20));
    CHECK(world.RangesIn("b") > 0);
  }
  SECTION("also if a second domain is evacuated meanwhile") {
    world.Evacuate("c", true);
    world.Run(kEvacuationBound - kMaxStateAge);
    CHECK(world.RangesIn("b") + world.RangesIn("c") == 0);
    CHECK(world.RangesIn("a") > 0);
  }
}

// Failure: the coordinator is lost halfway. Its successor sees the evacuation
// in the state of the store.
TEST_CASE("a new coordinator goes on with an evacuation") {
  three_domains world;
  world.Evacuate("b", true);
  world.Run(milliseconds(300));
  world.ChangeCoordinator();
  // The grants of the former coordinator end after this time.
  world.Run(
      std::chrono::duration_cast<milliseconds>(kTiming.MaxGrantLifetime()) +
      kLongestWork + seconds(1));
  CHECK(world.RangesIn("b") == 0);
}

// Failure: an owner in the evacuated domain answers nothing. Its keys follow
// when its grants have ended.
TEST_CASE("an unreachable owner delays an evacuation by its grants at most") {
  three_domains world;
  world.CutOff(1);
  world.Evacuate("b", true);
  world.Run(kEvacuationBound - kMaxStateAge);
  CHECK(world.RangesIn("b") <= 8);
  world.Run(kTiming.release_timeout + seconds(1));
  CHECK(world.RangesIn("b") == 0);
}

}  // namespace
}  // namespace bluebell
