#include "bluebell/gateway/role_lease.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "bluebell/core/boot_clock.h"
#include "bluebell/fleet/store_keys.h"
#include "bluebell/gateway/store_watcher.h"
#include "bluebell/kv/kv_client.h"
#include "bluebell/telemetry/log_event.h"

namespace bluebell {

namespace {

namespace asio = boost::asio;

// Short, so that after the loss of a coordinator its successor renews the
// grants before they end.
constexpr milliseconds kLeaseTerm{1'200};

}  // namespace

role_lease::role_lease(daemon_instance self,
                       kv_client& store,
                       store_watcher& watcher)
    : self_(std::move(self)), store_(store), watcher_(watcher) {}

bool role_lease::view_is_recent() const {
  return watcher_.state().RevisionOf(kCoordinatorHistoryKey) >=
         conflicting_history_revision_;
}

asio::awaitable<claim_outcome> role_lease::Claim(
    role_versions expected,
    std::vector<coordinator_record> formers) {
  ended_ = false;
  return WriteClaim(claim_kind::kFirst, expected, std::move(formers));
}

asio::awaitable<claim_outcome> role_lease::Renew(
    std::vector<coordinator_record> formers) {
  const instant sent_at = BootNow();
  const result<bool> renewed = co_await store_.RenewLease(claim_.lease);
  if (!renewed) {
    watcher_.ReportFailure(renewed.error(), BootNow());
    co_return claim_outcome::kUnknown;
  }
  watcher_.ReportSuccess(BootNow());
  if (renewed.value()) {
    proven_at_ = sent_at;
    co_return claim_outcome::kClaimed;
  }
  if (ended_) {
    co_return claim_outcome::kLost;
  }
  if (claim_.lease.era() != store_.era()) {
    // The lease is lost with its era. Only Reclaim() may follow.
    co_return claim_outcome::kUnknown;
  }
  const role_versions vacant{store_version(), claim_.versions.history};
  const claim_outcome outcome =
      co_await WriteClaim(claim_kind::kReclaim, vacant, std::move(formers));
  if (outcome == claim_outcome::kClaimed && ended_) {
    // End() was called meanwhile and has ended the earlier lease only.
    co_await End();
    co_return claim_outcome::kLost;
  }
  if (outcome == claim_outcome::kClaimed) {
    log_event(log_level::kInfo, "coordinates keys again")
        .With("revision", revision())
        .Write();
  }
  co_return outcome;
}

asio::awaitable<claim_outcome> role_lease::Reclaim(
    role_versions present,
    std::vector<coordinator_record> formers) {
  claim_outcome outcome =
      co_await WriteClaim(claim_kind::kFirst, present, std::move(formers));
  if (outcome == claim_outcome::kClaimed && ended_) {
    co_await End();
    outcome = claim_outcome::kLost;
  }
  co_return outcome;
}

asio::awaitable<claim_outcome> role_lease::WriteClaim(
    claim_kind kind,
    role_versions expected,
    std::vector<coordinator_record> formers) {
  const instant sent_at = BootNow();
  const result<kv_granted_lease> lease = co_await store_.StartLease(kLeaseTerm);
  if (!lease) {
    watcher_.ReportFailure(lease.error(), BootNow());
    co_return claim_outcome::kUnknown;
  }
  const kv_lease granted = lease.value().lease;
  log_event(log_level::kInfo, "claims the coordinator role")
      .With("expected_coordinator_revision", expected.coordinator)
      .With("expected_history_revision", expected.history)
      .With("former", IdsOf(formers))
      .Write();
  const result<kv_write_result> written =
      co_await store_.Write(ClaimWrite(expected, self_, formers, granted));
  if (!written) {
    watcher_.ReportFailure(written.error(), BootNow());
    const std::optional<role_claim> found = co_await FindClaim(granted);
    if (!found) {
      co_return claim_outcome::kUnknown;
    }
    co_return AcceptClaim(*found, !formers.empty(), sent_at);
  }
  if (const auto* done = std::get_if<kv_written>(&written.value())) {
    co_return AcceptClaim({{done->revision, done->revision}, granted},
                          !formers.empty(), sent_at);
  }
  const auto* conflict = std::get_if<kv_conflict>(&written.value());
  // The conflict may be with an earlier claim of this run whose response was
  // lost; when the role is claimed again, that claim is accepted. A first claim
  // must start from the present history, so it doesn't accept an earlier one.
  const std::optional<role_claim> earlier_claim =
      conflict != nullptr && kind == claim_kind::kReclaim
          ? FindOwnClaim(conflict->items, self_)
          : std::nullopt;
  if (earlier_claim &&
      earlier_claim->versions.coordinator == earlier_claim->versions.history) {
    co_return AcceptClaim(*earlier_claim, true, sent_at);
  }
  if (conflict != nullptr) {
    const role_versions found = FindRoleVersions(conflict->items);
    log_event(log_level::kInfo, "coordinator claim conflicts")
        .With("coordinator_revision", found.coordinator)
        .With("history_revision", found.history)
        .Write();
    conflicting_history_revision_ =
        std::max(conflicting_history_revision_, found.history);
    watcher_.ExpectRevision(conflicting_history_revision_.value());
    co_return claim_outcome::kLost;
  }
  // The new lease ended before the write arrived.
  co_return claim_outcome::kUnknown;
}

claim_outcome role_lease::AcceptClaim(const role_claim& accepted,
                                      bool history_has_former_coordinators,
                                      instant proven_at) {
  claim_ = accepted;
  history_has_former_coordinators_ = history_has_former_coordinators;
  proven_at_ = proven_at;
  return claim_outcome::kClaimed;
}

asio::awaitable<std::optional<role_claim>> role_lease::FindClaim(
    kv_lease lease) {
  const result<kv_listing> found =
      co_await store_.List(std::string(kCoordinatorKey));
  if (!found) {
    watcher_.ReportFailure(found.error(), BootNow());
    co_return std::nullopt;
  }
  const std::optional<role_claim> claimed =
      FindOwnClaim(found.value().items, self_);
  co_return claimed && claimed->lease == lease ? claimed : std::nullopt;
}

asio::awaitable<void> role_lease::TrimHistory() {
  if (!history_has_former_coordinators_) {
    co_return;
  }
  const store_version claim_revision = revision();
  const result<kv_write_result> written =
      co_await store_.Write(TrimHistoryWrite(claim_.versions, self_));
  if (!written) {
    watcher_.ReportFailure(written.error(), BootNow());
    co_return;
  }
  const auto* done = std::get_if<kv_written>(&written.value());
  if (done != nullptr && claim_revision == revision()) {
    claim_.versions.history = done->revision;
    history_has_former_coordinators_ = false;
  }
}

asio::awaitable<void> role_lease::Withdraw(
    std::vector<coordinator_record> formers) {
  const result<kv_write_result> written =
      co_await store_.Write(WithdrawalWrite(claim_.versions, formers));
  if (!written) {
    watcher_.ReportFailure(written.error(), BootNow());
  }
}

asio::awaitable<void> role_lease::EndAndWithdraw(
    std::vector<coordinator_record> formers) {
  // As the condition itself, the co_await made GCC 12 generate a coroutine that
  // ended the process when it was started.
  const bool has_ended = co_await End();
  if (has_ended) {
    co_await Withdraw(std::move(formers));
  }
}

asio::awaitable<bool> role_lease::End() {
  ended_ = true;
  const result<bool> ended = co_await store_.EndLease(claim_.lease);
  if (!ended) {
    log_event(log_level::kWarn,
              "store did not confirm the end of the coordinator lease")
        .With(ended.error())
        .Write();
  }
  co_return ended.has_value();
}

}  // namespace bluebell
