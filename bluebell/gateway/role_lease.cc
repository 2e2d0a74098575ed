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
  return watcher_.state().RevisionOf(kCoordinatorHistoryKey) >= lost_to_;
}

asio::awaitable<claim_outcome> role_lease::Claim(
    std::vector<daemon_instance> formers) {
  const fleet_state& state = watcher_.state();
  return WriteClaim(claim_kind::kFirst,
                    {state.RevisionOf(kCoordinatorKey),
                     state.RevisionOf(kCoordinatorHistoryKey)},
                    std::move(formers));
}

asio::awaitable<claim_outcome> role_lease::Renew(
    std::vector<daemon_instance> formers) {
  const instant sent_at = BootNow();
  const result<bool> renewed = co_await store_.RenewLease(held_.lease);
  if (!renewed) {
    watcher_.NoteFailure(renewed.error(), BootNow());
    co_return claim_outcome::kUnknown;
  }
  watcher_.NoteSuccess(BootNow());
  if (renewed.value()) {
    proof_ = sent_at;
    co_return claim_outcome::kClaimed;
  }
  const role_versions vacant{store_version(), held_.versions.history};
  const claim_outcome outcome =
      co_await WriteClaim(claim_kind::kAgain, vacant, std::move(formers));
  if (outcome == claim_outcome::kClaimed) {
    log_event(log_level::kInfo, "coordinates keys again")
        .With("revision", revision())
        .Write();
  }
  co_return outcome;
}

asio::awaitable<claim_outcome> role_lease::WriteClaim(
    claim_kind kind,
    role_versions expected,
    std::vector<daemon_instance> formers) {
  const instant sent_at = BootNow();
  const result<kv_granted_lease> lease = co_await store_.StartLease(kLeaseTerm);
  if (!lease) {
    watcher_.NoteFailure(lease.error(), BootNow());
    co_return claim_outcome::kUnknown;
  }
  const kv_lease granted = lease.value().lease;
  const result<kv_write_result> written =
      co_await store_.Write(ClaimWrite(expected, self_, formers, granted));
  if (!written) {
    watcher_.NoteFailure(written.error(), BootNow());
    const std::optional<held_role> found = co_await LookForClaim(granted);
    if (!found) {
      co_return claim_outcome::kUnknown;
    }
    co_return Hold(*found, !formers.empty(), sent_at);
  }
  if (const auto* done = std::get_if<kv_written>(&written.value())) {
    co_return Hold({{done->revision, done->revision}, granted},
                   !formers.empty(), sent_at);
  }
  const auto* conflict = std::get_if<kv_conflict>(&written.value());
  // The conflict may be with an earlier claim of this run whose response was
  // lost; when the role is claimed again, that claim is accepted. A first claim
  // must start from the present history, so it doesn't accept an earlier one.
  const std::optional<held_role> earlier_claim =
      conflict != nullptr && kind == claim_kind::kAgain
          ? FindOwnClaim(conflict->items, self_)
          : std::nullopt;
  if (earlier_claim &&
      earlier_claim->versions.holder == earlier_claim->versions.history) {
    co_return Hold(*earlier_claim, true, sent_at);
  }
  if (conflict != nullptr) {
    lost_to_ = std::max(lost_to_, FindRoleVersions(conflict->items).history);
    watcher_.ExpectRevision(lost_to_.value());
    co_return claim_outcome::kTaken;
  }
  // The new lease ended before the write arrived.
  co_return claim_outcome::kUnknown;
}

claim_outcome role_lease::Hold(const held_role& role,
                               bool history_is_long,
                               instant proof) {
  held_ = role;
  history_is_long_ = history_is_long;
  proof_ = proof;
  return claim_outcome::kClaimed;
}

asio::awaitable<std::optional<held_role>> role_lease::LookForClaim(
    kv_lease lease) {
  const result<kv_listing> found =
      co_await store_.List(std::string(kCoordinatorKey));
  if (!found) {
    watcher_.NoteFailure(found.error(), BootNow());
    co_return std::nullopt;
  }
  const std::optional<held_role> held =
      FindOwnClaim(found.value().items, self_);
  co_return held && held->lease == lease ? held : std::nullopt;
}

asio::awaitable<void> role_lease::NoteFormersExcluded() {
  if (!history_is_long_) {
    co_return;
  }
  const store_version claim_revision = revision();
  const result<kv_write_result> written =
      co_await store_.Write(FormersExcludedWrite(held_.versions, self_));
  if (!written) {
    watcher_.NoteFailure(written.error(), BootNow());
    co_return;
  }
  const auto* done = std::get_if<kv_written>(&written.value());
  if (done != nullptr && claim_revision == revision()) {
    held_.versions.history = done->revision;
    history_is_long_ = false;
  }
}

asio::awaitable<bool> role_lease::End() {
  const result<bool> ended = co_await store_.EndLease(held_.lease);
  if (!ended) {
    log_event(log_level::kWarn,
              "store did not confirm the end of the coordinator lease")
        .With(ended.error())
        .Write();
  }
  co_return ended.has_value();
}

}  // namespace bluebell
