#include "bluebell/fleet/watch_monitor.h"

#include <algorithm>
#include <utility>

namespace bluebell {

namespace {

// Longer than any wait for a check, so that Next() is called now and then.
constexpr milliseconds kMaxWait{10'000};

}  // namespace

std::string_view Describe(watch_witness witness) {
  return witness == watch_witness::kPeer ? "peer" : "store";
}

watch_monitor::watch_monitor(std::vector<scope_limits> scopes) {
  for (scope_limits& each : scopes) {
    scopes_.emplace_back().limits = std::move(each);
  }
}

revision_expectation::covers_function watch_monitor::Covers(
    const watched_scope& scope) {
  return
      [&scope](const store_version& asked) { return asked <= scope.delivered; };
}

void watch_monitor::Begin(std::size_t scope,
                          const store_version& position,
                          instant now) {
  watched_scope& watched = scopes_[scope];
  watched.delivered = position;
  watched.delivered_at = now;
  watched.open_at = now;
  watched.latest_shown = store_version();
  watched.shown = revision_expectation(kMaxDelivery);
  watched.check_after = now;
}

void watch_monitor::OnDelivered(std::size_t scope,
                                const store_version& position,
                                milliseconds pause,
                                instant now) {
  watched_scope& watched = scopes_[scope];
  watched.delivered = std::max(watched.delivered, position);
  watched.delivered_at = now;
  watched.open_at = now + pause;
  watched.shown.Expect(watched.latest_shown, Covers(watched), watched.open_at);
  OnConfirmed(scope, now);
}

void watch_monitor::OnShown(std::size_t scope,
                            const store_version& revision,
                            watch_witness witness,
                            instant now) {
  watched_scope& watched = scopes_[scope];
  if (revision <= watched.delivered) {
    return;
  }
  if (!watched.shown.due()) {
    watched.witness = witness;
  }
  watched.latest_shown = std::max(watched.latest_shown, revision);
  watched.shown.Expect(revision, Covers(watched),
                       std::max(now, watched.open_at));
}

void watch_monitor::OnConfirmed(std::size_t scope, instant time) {
  watched_scope& watched = scopes_[scope];
  watched.confirmed_at = std::max(watched.confirmed_at, time);
}

void watch_monitor::OnCheckEnd(std::size_t scope, instant now) {
  watched_scope& watched = scopes_[scope];
  watched.checking = false;
  watched.check_after = now + kCheckRetryPause;
}

watch_action watch_monitor::Next(instant now) {
  instant next = now + kMaxWait;
  for (std::size_t i = 0; i < scopes_.size(); ++i) {
    watched_scope& watched = scopes_[i];
    if (now >= replace_after_ &&
        watched.shown.IsOverdue(Covers(watched), now)) {
      replace_after_ = now + kMinReplaceInterval;
      return replace_watches{i, now - watched.delivered_at, watched.witness};
    }
    if (const auto due = watched.shown.due()) {
      next = std::min(next, std::max(*due, replace_after_));
    }
    if (watched.checking) {
      continue;
    }
    const milliseconds limit = has_peers_
                                   ? watched.limits.max_unconfirmed_with_peers
                                   : watched.limits.max_unconfirmed;
    const instant check_at =
        std::max(watched.confirmed_at + limit, watched.check_after);
    if (check_at <= now) {
      watched.checking = true;
      return check_store{i};
    }
    next = std::min(next, check_at);
  }
  return wait_until{next};
}

}  // namespace bluebell
