#include "bluebell/gateway/order_authority.h"

#include <algorithm>
#include <optional>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "bluebell/keyspace/grant_record.h"

namespace bluebell {
namespace {

const instant kStart = instant(seconds(1'000));

struct order_plan {
  // When the order is decided and checked, and when it is written and arrives,
  // from kStart.
  milliseconds decided{0};
  milliseconds written{0};
  milliseconds arrived{0};
};

milliseconds AnyBetween(milliseconds from, milliseconds to) {
  return milliseconds(*rc::gen::inRange(from.count(), to.count() + 1));
}

// An order that is decided around `moment`. It is written when its connection
// is open, and arrives before its call has lasted for its timeout. The host may
// be suspended before it is written, which the timeout doesn't count.
order_plan OrderAround(milliseconds moment, const key_timing& timing) {
  order_plan plan;
  plan.decided = AnyBetween(moment - 2 * timing.call_timeout, moment);
  const milliseconds suspended = *rc::gen::arbitrary<bool>()
                                     ? AnyBetween(milliseconds(0), seconds(5))
                                     : milliseconds(0);
  const milliseconds connected =
      AnyBetween(milliseconds(0), timing.call_timeout);
  plan.written = plan.decided + suspended + connected;
  plan.arrived = plan.written +
                 AnyBetween(milliseconds(0), timing.call_timeout - connected);
  return plan;
}

// When the grant expires at an endpoint whose clock is as slow as it may be.
// No value if the grant isn't written because its authority has ended.
std::optional<instant> ExpiryAtEndpoint(const order_authority& authority,
                                        std::uint64_t term,
                                        instant proven_at,
                                        const order_plan& plan,
                                        const key_timing& timing) {
  if (!authority.MaySend(order_kind::kGrant, term, proven_at,
                         kStart + plan.written)) {
    return std::nullopt;
  }
  return kStart + plan.arrived +
         std::chrono::duration_cast<duration>(
             timing.grant_duration * (1 + timing.max_clock_drift_ratio));
}

// When a successor moves keys of the former coordinator at the earliest.
instant EarliestMove(instant former_stopped_by, const key_timing& timing) {
  return grant_record::Inherited(former_stopped_by, former_stopped_by)
      .LatestExpiry(timing)
      .value();
}

// Failure: a grant is decided while the authority lasts and written after it
// has ended, because the host was suspended or busy. The successor, which waits
// from the end of the authority, moves the keys while the grant is valid.
TEST_CASE("a successor waits for every grant written under the authority") {
  const key_timing timing;
  const bool holds = rc::check("grants before the end of the authority", [&] {
    order_authority authority(timing);
    const std::uint64_t term = authority.OnClaimed();
    // The successor's claim follows the last proof.
    const instant successor_claimed_at =
        kStart + AnyBetween(milliseconds(0), milliseconds(100));
    const auto expiry = ExpiryAtEndpoint(
        authority, term, kStart, OrderAround(timing.authority_duration, timing),
        timing);
    RC_ASSERT(!expiry || *expiry <= EarliestMove(successor_claimed_at +
                                                     timing.authority_duration,
                                                 timing));
  });
  CHECK(holds);
}

// Failure: a grant is decided before the daemon yields, and written long after.
TEST_CASE("a successor waits for every grant written before the yield") {
  const key_timing timing;
  const bool holds = rc::check("grants before the yield", [&] {
    order_authority authority(timing);
    const std::uint64_t term = authority.OnClaimed();
    const milliseconds yielded = AnyBetween(seconds(1), seconds(7));
    const order_plan plan = OrderAround(yielded, timing);
    if (*rc::gen::arbitrary<bool>()) {
      authority.OnLeaving();
    }
    if (yielded <= plan.written) {
      authority.OnStopped();
    }
    const auto expiry = ExpiryAtEndpoint(authority, term, kStart, plan, timing);
    RC_ASSERT(!expiry || *expiry <= EarliestMove(kStart + yielded, timing));
  });
  CHECK(holds);
}

// Failure: a daemon that ends its lease starts moves until the store has
// answered. Its successor has started meanwhile, and releases the same keys
// while the first release still waits for the work on them.
TEST_CASE("a daemon that hands its role over only renews grants") {
  order_authority authority{key_timing()};
  authority.OnLeaving();
  CHECK(!authority.has_role());
  const std::uint64_t term = authority.OnClaimed();
  for (const order_kind kind :
       {order_kind::kGrant, order_kind::kRelease, order_kind::kTableWrite}) {
    CHECK(authority.MaySend(kind, term, kStart, kStart));
  }
  authority.OnLeaving();
  CHECK(authority.has_role());
  CHECK(authority.MaySend(order_kind::kGrant, term, kStart, kStart));
  CHECK(!authority.MaySend(order_kind::kRelease, term, kStart, kStart));
  CHECK(!authority.MaySend(order_kind::kTableWrite, term, kStart, kStart));
  authority.OnStopped();
  CHECK(!authority.has_role());
  CHECK(!authority.MaySend(order_kind::kGrant, term, kStart, kStart));
}

// Failure: an order of an earlier term is written in a later term of the same
// daemon, which has read the key tables again.
TEST_CASE("a later term doesn't let orders of an earlier one through") {
  order_authority authority{key_timing()};
  const std::uint64_t earlier = authority.OnClaimed();
  authority.OnStopped();
  const std::uint64_t later = authority.OnClaimed();
  CHECK(!authority.MaySend(order_kind::kGrant, earlier, kStart, kStart));
  CHECK(authority.MaySend(order_kind::kGrant, later, kStart, kStart));
}

}  // namespace
}  // namespace bluebell
