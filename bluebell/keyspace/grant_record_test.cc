#include "bluebell/keyspace/grant_record.h"

#include <catch2/catch.hpp>

namespace bluebell {
namespace {

const key_timing kTiming;
const instant kStart = instant(seconds(1'000));

TEST_CASE("an answered grant counts from its sending until its latest expiry") {
  grant_record record = grant_record::New("token", kStart);
  CHECK(record.IsDue(kStart));
  record.OnSent(kStart);
  CHECK(!record.IsDue(kStart + seconds(5)));
  record.OnAccepted(kStart, kTiming, kStart);
  CHECK(record.handover().empty());
  CHECK(record.IsDue(kStart + kTiming.renewal_interval));
  CHECK(record.LatestExpiry(kTiming) == kStart + kTiming.MaxGrantLifetime());
  // There is no unanswered grant.
  CHECK(record.LatestUnconfirmedExpiry(kTiming) == instant());
}

TEST_CASE("a grant without an answer may still be carried out") {
  grant_record record = grant_record::New("", kStart);
  record.OnSent(kStart);
  record.OnUnanswered(kStart, true, kTiming, kStart + milliseconds(500));
  CHECK(record.LatestUnconfirmedExpiry(kTiming) ==
        kStart + kTiming.MaxGrantLifetime());
}

// Guards against a release that counts as proof although the endpoint may have
// had nothing to release.
TEST_CASE("a grant may have ended at its endpoint before its latest expiry") {
  grant_record record = grant_record::New("", kStart);
  CHECK(record.MayHaveEnded(kTiming, kStart));
  CHECK(record.IsRenewalOverdue(kTiming, kStart));
  record.OnSent(kStart);
  record.OnAccepted(kStart, kTiming, kStart);
  const instant end = kStart + kTiming.grant_duration;
  CHECK(!record.MayHaveEnded(kTiming, end - milliseconds(1)));
  CHECK(record.MayHaveEnded(kTiming, end));
  CHECK(!record.IsRenewalOverdue(kTiming, kStart + kTiming.renewal_interval));
  CHECK(record.IsRenewalOverdue(kTiming, end));
  // A renewal that the endpoint refuses doesn't extend the grant.
  const instant refused = kStart + kTiming.renewal_interval;
  record.OnSent(refused);
  record.OnSuperseded(refused, kTiming, refused);
  CHECK(record.MayHaveEnded(kTiming, end));
}

TEST_CASE("a merged grant may have ended as soon as one of its parts") {
  grant_record early = grant_record::New("", kStart);
  early.OnSent(kStart);
  early.OnAccepted(kStart, kTiming, kStart);
  const instant later = kStart + seconds(1);
  grant_record late = grant_record::New("", later);
  late.OnSent(later);
  late.OnAccepted(later, kTiming, later);
  const grant_record merged = grant_record::Merged(late, early);
  CHECK(merged.MayHaveEnded(kTiming, kStart + kTiming.grant_duration));
}

// Guards against an expiry that is too early: a busy host sends a grant some
// time after the coordinator decided it.
TEST_CASE("a grant counts from its sending, not from the decision") {
  grant_record record = grant_record::New("", kStart);
  record.OnSent(kStart);
  const instant sent = kStart + milliseconds(300);
  record.OnAccepted(sent, kTiming, sent);
  CHECK(record.LatestExpiry(kTiming) == sent + kTiming.MaxGrantLifetime());
}

// Guards against an expiry that is too early: the process is paused between
// taking the time of sending and sending the grant, and handles the timeout
// late.
TEST_CASE("a grant counts as arrived when its late result is handled") {
  const instant handled = kStart + seconds(3);
  const instant ended =
      handled - kTiming.call_timeout + kTiming.MaxGrantLifetime();
  grant_record unanswered = grant_record::New("", kStart);
  unanswered.OnSent(kStart);
  unanswered.OnUnanswered(kStart, true, kTiming, handled);
  CHECK(unanswered.LatestExpiry(kTiming) == ended);
  CHECK(unanswered.LatestUnconfirmedExpiry(kTiming) == ended);
  grant_record accepted = grant_record::New("", kStart);
  accepted.OnSent(kStart);
  accepted.OnAccepted(kStart, kTiming, handled);
  CHECK(accepted.LatestExpiry(kTiming) == ended);
}

TEST_CASE("a grant that was never sent doesn't postpone the expiry") {
  grant_record record = grant_record::New("", kStart);
  record.OnSent(kStart);
  record.OnAccepted(kStart, kTiming, kStart);
  const instant second = kStart + kTiming.renewal_interval;
  record.OnSent(second);
  record.OnUnanswered(second, false, kTiming, second);
  CHECK(record.LatestExpiry(kTiming) == kStart + kTiming.MaxGrantLifetime());
  CHECK(record.LatestUnconfirmedExpiry(kTiming) == instant());
}

TEST_CASE("two records merge into the later times of both") {
  grant_record early = grant_record::New("", kStart);
  early.OnSent(kStart);
  early.OnUnanswered(kStart, true, kTiming, kStart);
  early.OnSent(kStart + seconds(1));
  CHECK(!grant_record::CanMerge(early, early));
  early.OnAccepted(kStart + seconds(1), kTiming, kStart + seconds(1));
  const instant later = kStart + seconds(2);
  grant_record late = grant_record::New("", later);
  late.OnSent(later);
  late.OnAccepted(later, kTiming, later);
  REQUIRE(grant_record::CanMerge(early, late));
  const grant_record merged = grant_record::Merged(early, late);
  CHECK(merged.LatestExpiry(kTiming) == later + kTiming.MaxGrantLifetime());
  CHECK(merged.LatestUnconfirmedExpiry(kTiming) ==
        kStart + kTiming.MaxGrantLifetime());
  CHECK(merged.IsDue(kStart + seconds(1) + kTiming.renewal_interval));
}

TEST_CASE(
    "the expiry of a former coordinator's grants is unknown until it stopped") {
  grant_record record = grant_record::Inherited(std::nullopt, kStart);
  record.OnSent(kStart);
  record.OnAccepted(kStart, kTiming, kStart);
  CHECK(!record.LatestExpiry(kTiming));
  CHECK(!record.LatestUnconfirmedExpiry(kTiming));
  record.OnFormerStopped(kStart + seconds(9));
  CHECK(record.LatestExpiry(kTiming) ==
        kStart + seconds(9) + kTiming.MaxGrantLifetime());
}

// Guards against two owners after a takeover within a term: the result of an
// earlier grant, which may still be carried out, comes while another grant is
// in flight, and that one turns out not to have been sent.
TEST_CASE(
    "a grant that wasn't sent doesn't hide the result of an earlier one") {
  grant_record record = grant_record::New("", kStart);
  const instant decided = kStart + milliseconds(100);
  record.OnSent(decided);
  const instant earlier = kStart + milliseconds(50);
  record.OnEarlierResult(earlier, kTiming, earlier);
  record.OnUnanswered(decided, false, kTiming, decided + milliseconds(10));
  CHECK(record.LatestExpiry(kTiming) == earlier + kTiming.MaxGrantLifetime());
}

}  // namespace
}  // namespace bluebell
