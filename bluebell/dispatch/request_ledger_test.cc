#include "bluebell/dispatch/request_ledger.h"

#include <string>

#include <catch2/catch.hpp>

namespace bluebell {
namespace {

const wall_instant kBegin{seconds(1'000'000)};
const wall_instant kNow = kBegin + seconds(10);
const request_outcome kAnswer = answer{200, {}, "done"};
const request_outcome kRefused =
    not_run{not_run_reason::kOverloaded, "", milliseconds(0)};
const request_outcome kWithdrawn =
    not_run{not_run_reason::kWithdrawn, "", milliseconds(0)};

request_id Id(std::uint64_t number, wall_instant issued_at = kNow) {
  return request_id::Make(issued_at, {0, number});
}

request_ledger Ledger(const ledger_limits& limits = {}) {
  return {limits, kBegin};
}

// Admits a request that isn't idempotent.
ledger_verdict Order(request_ledger& ledger, const request_id& id) {
  return ledger.Admit(id, false, kNow);
}

template <typename Verdict>
bool Is(const ledger_verdict& verdict) {
  return std::holds_alternative<Verdict>(verdict);
}

TEST_CASE("a repeat runs neither during nor after the first request") {
  request_ledger ledger = Ledger();
  REQUIRE(Is<first_arrival>(Order(ledger, Id(1))));
  CHECK(Is<already_running>(Order(ledger, Id(1))));
  ledger.End(Id(1), kAnswer);
  CHECK(Order(ledger, Id(1)) == ledger_verdict(already_ended{kAnswer}));
  CHECK(ledger.Find(Id(1)) == ledger_record{Id(1), kAnswer});
}

TEST_CASE("a repeat may run only if it is known that the first did not") {
  request_ledger ledger = Ledger();
  REQUIRE(Is<first_arrival>(Order(ledger, Id(1))));
  ledger.End(Id(1), kRefused);
  CHECK(Is<first_arrival>(Order(ledger, Id(1))));
  const request_outcome lost = unknown{unknown_reason::kConnectionLost, ""};
  ledger.End(Id(1), lost);
  CHECK(Order(ledger, Id(1)) == ledger_verdict(already_ended{lost}));
  CHECK(Is<first_arrival>(ledger.Admit(Id(1), true, kNow)));
}

TEST_CASE("a request whose answer was dropped over the size limit runs once") {
  ledger_limits limits;
  limits.max_answer_bytes = 100;
  request_ledger ledger = Ledger(limits);
  const request_outcome large = answer{200, {}, std::string(60, 'x')};
  for (const std::uint64_t number : {1U, 2U}) {
    REQUIRE(Is<first_arrival>(Order(ledger, Id(number))));
    ledger.End(Id(number), large);
  }
  CHECK(Is<may_have_run>(Order(ledger, Id(1))));
  CHECK(Order(ledger, Id(2)) == ledger_verdict(already_ended{large}));
  CHECK(Is<first_arrival>(ledger.Admit(Id(1), true, kNow)));
}

TEST_CASE("an id that was dropped over the entry limit may have run") {
  ledger_limits limits;
  limits.max_entries = 10;
  request_ledger ledger = Ledger(limits);
  for (std::uint64_t i = 0; i < 30; ++i) {
    const request_id id = Id(i, kNow - seconds(1) + milliseconds(i));
    REQUIRE(Is<first_arrival>(Order(ledger, id)));
    ledger.End(id, kAnswer);
  }
  CHECK(ledger.size() == 10);
  for (std::uint64_t i = 0; i < 20; ++i) {
    const wall_instant issued = kNow - seconds(1) + milliseconds(i);
    CHECK(Is<may_have_run>(Order(ledger, Id(i, issued))));
    CHECK(Is<may_have_run>(Order(ledger, Id(1'000 + i, issued))));
  }
  CHECK(Is<first_arrival>(Order(ledger, Id(99))));
  CHECK(ledger.size() == 10);
}

TEST_CASE("running requests stay on record longer than ended ones") {
  ledger_limits limits;
  limits.max_entries = 2;
  request_ledger ledger = Ledger(limits);
  const request_id running = Id(1, kNow - seconds(5));
  REQUIRE(Is<first_arrival>(Order(ledger, running)));
  for (std::uint64_t i = 2; i < 10; ++i) {
    REQUIRE(Is<first_arrival>(Order(ledger, Id(i, kNow + milliseconds(i)))));
    ledger.End(Id(i, kNow + milliseconds(i)), kAnswer);
  }
  CHECK(Is<already_running>(Order(ledger, running)));
  ledger.End(running, kRefused);
  CHECK(Is<first_arrival>(Order(ledger, running)));
}

TEST_CASE("ids issued before the records are complete run only if idempotent") {
  request_ledger ledger = Ledger();
  const request_id old = Id(1, kBegin - milliseconds(1));
  CHECK(Is<may_have_run>(Order(ledger, old)));
  CHECK(Is<first_arrival>(ledger.Admit(old, true, kNow)));
  CHECK(Is<first_arrival>(Order(ledger, Id(2, kBegin))));
}

TEST_CASE("ids issued too far in the future are refused") {
  request_ledger ledger = Ledger();
  const wall_instant bound = kNow + ledger_limits().max_clock_error;
  CHECK(Is<first_arrival>(Order(ledger, Id(1, bound))));
  CHECK(Is<issued_in_future>(Order(ledger, Id(2, bound + milliseconds(1)))));
  CHECK(ledger.size() == 1);
}

TEST_CASE("a request that arrives after its withdrawal doesn't run") {
  request_ledger ledger = Ledger();
  CHECK(ledger.Withdraw(Id(1)).outcome == kWithdrawn);
  CHECK(Order(ledger, Id(1)) == ledger_verdict(already_ended{kWithdrawn}));
  CHECK(ledger.Admit(Id(1), true, kNow) ==
        ledger_verdict(already_ended{kWithdrawn}));

  REQUIRE(Is<first_arrival>(Order(ledger, Id(2))));
  CHECK_FALSE(ledger.Withdraw(Id(2)).outcome);
  ledger.End(Id(2), kWithdrawn);
  CHECK(Order(ledger, Id(2)) == ledger_verdict(already_ended{kWithdrawn}));
}

TEST_CASE("what may have run isn't reported as withdrawn") {
  request_ledger ledger = Ledger();
  const auto record = ledger.Withdraw(Id(1, kBegin - milliseconds(1)));
  REQUIRE(record.outcome);
  CHECK(KindOf(*record.outcome) == outcome_kind::kUnknown);
  REQUIRE(Is<first_arrival>(Order(ledger, Id(2))));
  ledger.End(Id(2), kAnswer);
  CHECK(ledger.Withdraw(Id(2)).outcome == kAnswer);
}

TEST_CASE("no request runs twice when the ledger moves to a new dispatcher") {
  request_ledger former = Ledger();
  REQUIRE(Is<first_arrival>(Order(former, Id(1))));
  former.End(Id(1), kAnswer);
  REQUIRE(Is<first_arrival>(Order(former, Id(2))));
  former.Withdraw(Id(3));

  request_ledger next(ledger_limits{}, kNow + seconds(1));
  CHECK(Is<may_have_run>(Order(next, Id(4))));
  next.Adopt(former.Export(), former.complete_from());
  CHECK(next.complete_from() == kBegin);
  CHECK(Order(next, Id(1)) == ledger_verdict(already_ended{kAnswer}));
  CHECK(Is<may_have_run>(Order(next, Id(2))));
  CHECK(Order(next, Id(3)) == ledger_verdict(already_ended{kWithdrawn}));
  CHECK(Is<first_arrival>(Order(next, Id(4))));

  former.End(Id(2), kAnswer);
  next.Adopt(former.Export(), former.complete_from());
  CHECK(Order(next, Id(2)) == ledger_verdict(already_ended{kAnswer}));
  CHECK(Is<already_running>(Order(next, Id(4))));
}

TEST_CASE("adopting records keeps ids that were dropped here as possibly run") {
  ledger_limits limits;
  limits.max_entries = 1;
  request_ledger ledger(limits, kNow);
  REQUIRE(Is<first_arrival>(Order(ledger, Id(1))));
  ledger.End(Id(1), kAnswer);
  REQUIRE(Is<first_arrival>(Order(ledger, Id(2, kNow + milliseconds(5)))));
  ledger.Adopt({}, kBegin);
  CHECK(Is<may_have_run>(Order(ledger, Id(1))));
}

}  // namespace
}  // namespace bluebell
