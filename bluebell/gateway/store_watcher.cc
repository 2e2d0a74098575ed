#include "bluebell/gateway/store_watcher.h"

#include <algorithm>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "bluebell/core/boot_clock.h"
#include "bluebell/fleet/store_keys.h"
#include "bluebell/kv/kv_client.h"
#include "bluebell/net/task.h"
#include "bluebell/telemetry/log_event.h"

namespace bluebell {

namespace {

namespace asio = boost::asio;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// The store charges for each watch call, also for one that returns no change.
constexpr milliseconds kMaxWatchTime{30'000};
// The pause after a failed read of the store, doubled after each further one.
// Refused calls are charged too, and all daemons read at the same time after an
// outage.
constexpr milliseconds kMinRetryPause{150};
constexpr milliseconds kMaxRetryPause{1'200};
// Pauses before the next watch call. Changes often come in groups, and one call
// after a pause returns them all. All daemons must learn within 2 s that an
// endpoint has left.
constexpr milliseconds kPauseAfterEndpointChange{1'300};
constexpr milliseconds kPauseAfterConfigChange{600};
// After changes of the members and the coordinator.
constexpr milliseconds kPauseAfterFleetChange{500};
// After any change, for daemons with a duty.
constexpr milliseconds kPauseWithDuty{150};
constexpr milliseconds kPauseAsStandby{600};
constexpr milliseconds kPauseAsRelay{300};
// A daemon without a duty watches the store for this long before it follows
// the relays, since duties change often while daemons start.
constexpr milliseconds kMinFollowDelay{4'000};
constexpr milliseconds kMaxFollowDelay{32'000};
// The changes in one update, which is one datagram.
constexpr std::size_t kMaxUpdateBytes = 24'000;
// Shorter outages can't make endpoint entries lapse.
constexpr milliseconds kMinOutageForLapses{1'000};
// When the store comes back from an older copy, all daemons read it anew, also
// those that follow relays. Spreading the listings over this time keeps those
// of a large fleet within the store's rate limit for reads.
constexpr milliseconds kEraReadSpread{1'000};
// The prefix of every key.
constexpr const char* kAllKeysPrefix = "";

}  // namespace

store_watcher::store_watcher(asio::io_context& io,
                             kv_client& store,
                             fleet_decoders decoders,
                             watcher_handlers handlers)
    : io_(io),
      store_(store),
      endpoint_prefix_(decoders.endpoint_prefix),
      operator_prefix_(decoders.operator_prefix),
      state_(std::move(decoders)),
      log_({endpoint_prefix_, operator_prefix_,
            std::string(kDaemonStatePrefix)}),
      handlers_(std::move(handlers)),
      expected_(io, state_, [this] { Restart(); }),
      guard_(io,
             store,
             log_,
             operator_prefix_,
             std::string(kDaemonStatePrefix),
             GuardHandlers()),
      follow_delay_(kMinFollowDelay),
      random_(std::random_device()()),
      follow_timer_(io),
      lapse_timer_(io) {
  store_.AddEraHandler([this](store_era era) { OnEraRise(era); });
}

watch_guard_handlers store_watcher::GuardHandlers() {
  return {[this](std::string_view prefix, const std::vector<kv_event>& events,
                 store_version up_to, std::string_view source) {
            return TakeShownChanges(prefix, events, up_to, source);
          },
          [this](const silent_watch& silent) {
            if (handlers_.on_silent_watch) {
              handlers_.on_silent_watch(silent);
            }
            StartWatches(silent.position);
          },
          [this] { Restart(); }, [this] { return store_is_available(); },
          [this](const address& to, const fleet_update_request& request) {
            handlers_.send(to, request);
          }};
}

bool store_watcher::TakeShownChanges(std::string_view prefix,
                                     const std::vector<kv_event>& events,
                                     store_version up_to,
                                     std::string_view source) {
  if (!log_.HasNews(prefix, events)) {
    // The next check needs no changes that the store may have discarded.
    log_.Append(prefix, {}, up_to);
    return true;
  }
  // Their one watch delivers all changes in the order of their revisions, which
  // the assignment of keys relies on.
  if (duty_ >= watch_duty::kCoordinatorStandby) {
    return false;
  }
  ApplyChanges(prefix, events, up_to, BootNow());
  NotifyChanged(source);
  return true;
}

void store_watcher::SetConfirmingPeers(std::vector<address> peers) {
  guard_.SetPeers(std::move(peers));
}

void store_watcher::Start() {
  follow_after_ = BootNow() + follow_delay_;
  Restart();
}

void store_watcher::Restart() {
  ++generation_;
  watching_ = false;
  following_ = false;
  guard_.End();
  SpawnTask(io_.get_executor(), "store listing", Run(),
            [this, generation = generation_] { RestartAfter(generation); });
}

void store_watcher::OnEraRise(store_era era) {
  const instant now = BootNow();
  std::uniform_int_distribution<std::int64_t> spread(0, kEraReadSpread.count());
  const milliseconds delay(spread(random_));
  log_event(log_level::kWarn, "store came back from an older copy")
      .With("era", era)
      .With("known_revision", RevisionIn(state_.snapshot().revision))
      .With("read_in_ms", delay.count())
      .Write();
  next_read_ = now + delay;
  // What the copy lacks is written again by then.
  state_.OnStoreRecovered(now);
  Restart();
}

void store_watcher::RestartAfter(std::uint64_t failed_generation) {
  if (failed_generation == generation_) {
    Restart();
  }
}

void store_watcher::ReportSuccess(instant now) {
  // A daemon that follows gets what it missed from its relay.
  if (EndOutage(now) && !following_) {
    Restart();
  }
}

bool store_watcher::EndOutage(instant now) {
  last_success_at_ = now;
  retry_pause_ = milliseconds(0);
  if (!failing_since_) {
    return false;
  }
  const duration outage = now - *failing_since_;
  failing_since_.reset();
  log_event(log_level::kInfo, "store regained")
      .With("outage_ms",
            std::chrono::duration_cast<milliseconds>(outage).count())
      .Write();
  // Entries lapse only if the store was unavailable to all hosts, not to this
  // one alone.
  if (outage >= kMinOutageForLapses &&
      !std::exchange(peer_saw_changes_, false)) {
    state_.OnStoreRecovered(now);
  }
  return true;
}

void store_watcher::ReportFailure(const error& cause, instant now) {
  if (failing_since_) {
    return;
  }
  failing_since_ = now;
  peer_saw_changes_ = false;
  log_event(log_level::kWarn, "store lost").With(cause).Write();
}

milliseconds store_watcher::NextRetryPause() {
  retry_pause_ = std::clamp(2 * retry_pause_, kMinRetryPause, kMaxRetryPause);
  std::uniform_int_distribution<std::int64_t> spread(retry_pause_.count() / 2,
                                                     retry_pause_.count());
  return milliseconds(spread(random_));
}

asio::awaitable<void> store_watcher::Pause(milliseconds time) {
  asio::steady_timer timer(io_, time);
  co_await timer.async_wait(kAwait);
}

void store_watcher::SetRelays(std::vector<address> relays) {
  relays_ = std::move(relays);
  follower_.SetRelays(relays_);
}

void store_watcher::SetDuty(watch_duty duty) {
  const instant now = BootNow();
  const watch_duty earlier = std::exchange(duty_, duty);
  if (duty == watch_duty::kNone) {
    if (earlier != watch_duty::kNone) {
      follow_after_ = now + follow_delay_;
    }
    if (!following_) {
      SetFollowTimer(follow_after_);
    }
  }
  if (earlier == duty) {
    return;
  }
  if (duty >= watch_duty::kCoordinatorStandby) {
    // The key tables have to be read.
    Restart();
  } else if (following_) {
    StopFollowing("this daemon has a duty");
  } else if (watching_) {
    StartWatches(store_version());
  }
}

std::vector<store_watcher::watch_scope> store_watcher::WatchScopes() const {
  if (duty_ == watch_duty::kCoordinator) {
    return {{kAllKeysPrefix, kPauseWithDuty}};
  }
  if (duty_ == watch_duty::kCoordinatorStandby) {
    return {{kAllKeysPrefix, kPauseAsStandby}};
  }
  if (duty_ == watch_duty::kRelay) {
    return {{endpoint_prefix_, kPauseAsRelay},
            {operator_prefix_, kPauseAsRelay},
            {std::string(kDaemonStatePrefix), kPauseAsRelay}};
  }
  const bool dispatches = duty_ == watch_duty::kDispatcher;
  return {{endpoint_prefix_,
           dispatches ? kPauseWithDuty : kPauseAfterEndpointChange},
          {operator_prefix_, kPauseAfterConfigChange},
          {std::string(kDaemonStatePrefix), kPauseAfterFleetChange}};
}

asio::awaitable<std::optional<store_version>> store_watcher::ReadAll(
    std::uint64_t generation) {
  const instant asked_at = BootNow();
  result<kv_listing> listing = co_await store_.List(kAllKeysPrefix);
  const instant now = BootNow();
  if (generation != generation_) {
    co_return std::nullopt;
  }
  if (!listing) {
    ReportFailure(listing.error(), now);
    co_return std::nullopt;
  }
  EndOutage(now);
  const store_version revision = listing.value().revision;
  read_revision_ = revision;
  const std::vector<kv_event> changes =
      state_.ApplyListing(listing.value().items, revision, now);
  if (log_.PositionOf(kAllKeysPrefix) == store_version()) {
    log_.Reset(revision);
  } else {
    log_.Append(kAllKeysPrefix, changes, revision);
  }
  log_event(log_level::kInfo, "store read")
      .With("revision", revision)
      .With("changes", changes.size())
      .With("endpoints_revision", state_.snapshot().endpoints_revision)
      .Write();
  guard_.OnConfirmed(asked_at);
  NotifyChanged("listing");
  co_return revision;
}

asio::awaitable<void> store_watcher::Run() {
  const std::uint64_t generation = generation_;
  const duration delay = next_read_ - BootNow();
  if (delay > duration(0)) {
    co_await Pause(std::chrono::ceil<milliseconds>(delay));
  }
  while (generation == generation_) {
    const std::optional<store_version> listed = co_await ReadAll(generation);
    if (generation != generation_) {
      break;
    }
    if (listed) {
      StartWatches(*listed);
      break;
    }
    co_await Pause(NextRetryPause());
  }
}

void store_watcher::StartWatches(store_version table_position) {
  const std::uint64_t generation = ++generation_;
  following_ = false;
  watching_ = true;
  const instant now = BootNow();
  for (const watch_scope& keys : WatchScopes()) {
    const store_version after = keys.prefix == kAllKeysPrefix
                                    ? table_position
                                    : log_.PositionOf(keys.prefix);
    guard_.BeginWatch(keys.prefix, after, now);
    SpawnTask(io_.get_executor(), "store watch", Watch(generation, keys, after),
              [this, generation] { RestartAfter(generation); });
  }
}

asio::awaitable<void> store_watcher::Watch(std::uint64_t generation,
                                           watch_scope scope,
                                           store_version after) {
  while (generation == generation_) {
    const result<kv_changes> changes =
        co_await store_.Watch(scope.prefix, after, kMaxWatchTime);
    if (generation != generation_) {
      break;
    }
    const instant now = BootNow();
    if (!changes && changes.error().code() == errc::kNotFound) {
      log_event(log_level::kInfo,
                "store no longer has the watched revision; reading all keys")
          .Write();
      Restart();
      break;
    }
    if (!changes) {
      ReportFailure(changes.error(), now);
      co_await Pause(NextRetryPause());
      // One read tries the store from here on, not each of the watches.
      RestartAfter(generation);
      break;
    }
    if (EndOutage(now)) {
      // The other watches may have lost their connections without an error.
      Restart();
      break;
    }
    after = changes.value().revision;
    const std::vector<kv_event>& events = changes.value().events;
    const milliseconds pause =
        events.empty() ? milliseconds(0) : scope.pause_after_change;
    // Another path may have shown the changes before.
    const bool has_news = log_.HasNews(scope.prefix, events);
    ApplyChanges(scope.prefix, events, after, now);
    guard_.OnDelivered(scope.prefix, after, pause, now);
    if (has_news) {
      NotifyChanged("watch");
    }
    if (!events.empty()) {
      co_await Pause(pause);
    }
  }
}

void store_watcher::ApplyChanges(std::string_view prefix,
                                 const std::vector<kv_event>& events,
                                 store_version up_to,
                                 instant now) {
  for (const kv_event& event : events) {
    state_.Apply(event, now);
  }
  log_.Append(prefix, events, up_to);
}

bool store_watcher::MayFollow(instant now) const {
  return duty_ == watch_duty::kNone && watching_ && !failing_since_ &&
         !relays_.empty() && now >= follow_after_;
}

void store_watcher::StartFollowing(instant now) {
  log_event(log_level::kInfo, "follows a relay")
      .With("relay", relays_.front().ToString())
      .Write();
  // Ends the watches.
  ++generation_;
  watching_ = false;
  following_ = true;
  guard_.End();
  follower_.Start(relays_, now);
}

void store_watcher::StopFollowing(std::string_view reason) {
  const instant now = BootNow();
  log_event(log_level::kInfo, "watches the store")
      .With("reason", reason)
      .With("confirmed_ms_ago", std::chrono::duration_cast<milliseconds>(
                                    now - follower_.confirmed_at())
                                    .count())
      .Write();
  follow_after_ = now + follow_delay_;
  guard_.OnConfirmed(follower_.confirmed_at());
  StartWatches(store_version());
  SetFollowTimer(follow_after_);
}

void store_watcher::SetFollowTimer(instant time) {
  follow_timer_.expires_after(
      std::max<duration>(time - BootNow(), milliseconds(1)));
  follow_timer_.async_wait([this](boost::system::error_code cancelled) {
    if (!cancelled) {
      Follow();
    }
  });
}

void store_watcher::Follow() {
  const instant now = BootNow();
  if (!following_) {
    if (!MayFollow(now)) {
      SetFollowTimer(std::max(follow_after_, now + kMinFollowDelay));
      return;
    }
    StartFollowing(now);
  }
  // If the store doesn't answer this daemon either, watching gains nothing.
  if (follower_.NeedsStore(now) && store_is_available()) {
    if (follower_.misses_large_change()) {
      StopFollowing("a change is too large for a relay");
      return;
    }
    follow_delay_ = std::min(2 * follow_delay_, kMaxFollowDelay);
    StopFollowing("no relay vouches for a recent state");
    return;
  }
  follower_action action = follower_.Next(now);
  if (const auto* ask = std::get_if<ask_relay>(&action)) {
    handlers_.send(ask->relay,
                   fleet_update_request{ask->number, log_.positions()});
    action = follower_.Next(now);
  }
  SetFollowTimer(std::get<wait_until>(action).time);
}

void store_watcher::OnUpdateRequest(const address& from,
                                    const fleet_update_request& request) {
  const instant now = BootNow();
  fleet_update update;
  update.number = request.number;
  auto changes = log_.ChangesAfter(request.positions, kMaxUpdateBytes);
  if (watching_ && !failing_since_ && changes) {
    update.confirmed = true;
    // A successful call says nothing about a watch that is silent.
    const instant confirmed_at =
        std::min(last_success_at_, guard_.confirmed_at());
    update.confirmed_age_ms = static_cast<std::uint32_t>(
        std::chrono::duration_cast<milliseconds>(now - confirmed_at).count());
    update.has_more = changes->has_more;
    update.removal_delay_ms = static_cast<std::uint32_t>(
        std::chrono::duration_cast<milliseconds>(
            std::max<duration>(state_.removals_delayed_until() - now,
                               duration(0)))
            .count());
    update.scopes = std::move(changes->scopes);
  }
  handlers_.send(from, update);
}

void store_watcher::OnUpdate(const address& from, const fleet_update& update) {
  const instant now = BootNow();
  if (!following_) {
    guard_.OnUpdate(from, update);
    return;
  }
  if (follower_.OnUpdate(from, update, now) &&
      update.scopes.size() == log_.scope_count()) {
    follow_delay_ = kMinFollowDelay;
    if (update.removal_delay_ms > 0) {
      state_.DelayRemovalsUntil(now + milliseconds(update.removal_delay_ms));
    }
    bool has_changed = false;
    for (std::size_t i = 0; i < update.scopes.size(); ++i) {
      const scope_changes& scope = update.scopes[i];
      ApplyChanges(log_.prefix(i), EventsOf(scope), store_version(scope.up_to),
                   now);
      has_changed = has_changed || !scope.changes.empty();
    }
    if (has_changed) {
      NotifyChanged("relay");
    }
  }
  Follow();
}

void store_watcher::LogDepartures(std::string_view source) {
  const std::vector<endpoint_departure> departures = state_.TakeDepartures();
  if (departures.empty()) {
    return;
  }
  std::string endpoints;
  for (const endpoint_departure& each : departures) {
    endpoints += endpoints.empty() ? "" : ", ";
    endpoints += each.endpoint.value();
    endpoints += ' ';
    endpoints += Describe(each.cause);
  }
  const instant confirmed_at =
      following_ ? follower_.confirmed_at() : last_success_at_;
  log_event(log_level::kInfo, "endpoints left service")
      .With("endpoints", endpoints)
      .With("source", source)
      .With("position", log_.PositionOf(endpoint_prefix_))
      .With("endpoints_revision", state_.snapshot().endpoints_revision)
      .With("confirmed_ms_ago",
            std::chrono::duration_cast<milliseconds>(BootNow() - confirmed_at)
                .count())
      .Write();
}

void store_watcher::LogEvacuations(std::string_view source) {
  for (const evacuation_change& change : state_.TakeEvacuationChanges()) {
    log_event(log_level::kInfo, change.begins ? "failure domain evacuated"
                                              : "failure domain in use again")
        .With("evacuated", change.domain)
        .With("endpoints", change.endpoints)
        .With("source", source)
        .With("position", log_.PositionOf(operator_prefix_))
        .Write();
  }
}

void store_watcher::NotifyChanged(std::string_view source) {
  LogEvacuations(source);
  LogDepartures(source);
  for (const error& problem : state_.TakeErrors()) {
    log_event(log_level::kWarn, "malformed value ignored")
        .With(problem)
        .Write();
  }
  handlers_.on_change(state_);
  ScheduleLapse();
}

void store_watcher::ScheduleLapse() {
  const auto next = state_.NextLapseTime();
  if (!next) {
    return;
  }
  lapse_timer_.expires_after(
      std::max<duration>(*next - BootNow(), milliseconds(1)));
  lapse_timer_.async_wait([this](boost::system::error_code cancelled) {
    if (!cancelled && state_.RemoveLapsed(BootNow())) {
      NotifyChanged("lapse");
    }
  });
}

void store_watcher::OnTableWritten(const service_name& service,
                                   const key_table& table,
                                   const store_version& revision) {
  if (state_.RecordOwnTable(service, table, revision)) {
    NotifyChanged("own write");
  }
}

void store_watcher::RecordLeaving(const endpoint_instance& endpoint) {
  if (state_.RecordLeaving(endpoint, BootNow())) {
    log_event(log_level::kInfo, "endpoint is leaving")
        .With("endpoint", endpoint.endpoint)
        .Write();
    NotifyChanged("response");
  }
}

void store_watcher::ExpectRevision(std::uint64_t revision) {
  if (state_.RaiseRevisionTo(store_version(revision))) {
    NotifyChanged("another daemon");
  }
  expected_.Expect(revision);
}

void store_watcher::ExpectEndpointsRevision(std::uint64_t revision) {
  expected_.ExpectEndpoints(revision);
}

}  // namespace bluebell
