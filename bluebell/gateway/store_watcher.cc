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
constexpr milliseconds kRetryInterval{150};
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
// Shorter outages can't make endpoint entries lapse.
constexpr milliseconds kMinOutageForLapses{1'000};
// Longer than the longest of the pauses above, after which a change arrives.
constexpr milliseconds kExpectationTimeout{1'900};
// The prefix of every key.
constexpr const char* kAllKeysPrefix = "";

}  // namespace

store_watcher::store_watcher(asio::io_context& io,
                             kv_client& store,
                             fleet_decoders decoders,
                             change_handler on_change)
    : io_(io),
      store_(store),
      endpoint_prefix_(decoders.endpoint_prefix),
      config_key_(decoders.config_key),
      state_(std::move(decoders)),
      on_change_(std::move(on_change)),
      expectation_timer_(io),
      lapse_timer_(io) {}

void store_watcher::Start() {
  Restart();
}

void store_watcher::Restart() {
  ++generation_;
  SpawnTask(io_.get_executor(), "store listing", Run(),
            [this, generation = generation_] { RestartAfter(generation); });
}

void store_watcher::RestartAfter(std::uint64_t failed_generation) {
  if (failed_generation == generation_) {
    Restart();
  }
}

void store_watcher::ReportSuccess(instant now) {
  if (EndOutage(now)) {
    Restart();
  }
}

bool store_watcher::EndOutage(instant now) {
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

asio::awaitable<void> store_watcher::Pause(milliseconds time) {
  asio::steady_timer timer(io_, time);
  co_await timer.async_wait(kAwait);
}

void store_watcher::SetDuty(watch_duty duty) {
  if (std::exchange(duty_, duty) != duty) {
    Restart();
  }
}

std::vector<store_watcher::watch_scope> store_watcher::WatchScopes() const {
  if (duty_ == watch_duty::kCoordinator) {
    return {{kAllKeysPrefix, kPauseWithDuty}};
  }
  if (duty_ == watch_duty::kCoordinatorStandby) {
    return {{kAllKeysPrefix, kPauseAsStandby}};
  }
  const bool dispatches = duty_ == watch_duty::kDispatcher;
  return {{endpoint_prefix_,
           dispatches ? kPauseWithDuty : kPauseAfterEndpointChange},
          {config_key_, kPauseAfterConfigChange},
          {std::string(kDaemonStatePrefix), kPauseAfterFleetChange}};
}

asio::awaitable<std::optional<store_version>> store_watcher::ReadAll(
    std::uint64_t generation) {
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
  state_.ApplyListing(listing.value().items, listing.value().revision, now);
  NotifyChanged();
  co_return listing.value().revision;
}

asio::awaitable<void> store_watcher::Run() {
  const std::uint64_t generation = generation_;
  while (generation == generation_) {
    const std::optional<store_version> listed = co_await ReadAll(generation);
    if (generation != generation_) {
      break;
    }
    if (!listed) {
      co_await Pause(kRetryInterval);
      continue;
    }
    for (const watch_scope& keys : WatchScopes()) {
      SpawnTask(io_.get_executor(), "store watch",
                Watch(generation, keys, *listed),
                [this, generation] { RestartAfter(generation); });
    }
    break;
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
      co_await Pause(kRetryInterval);
      continue;
    }
    if (EndOutage(now)) {
      // The other watches may have lost their connections without an error.
      Restart();
      break;
    }
    after = changes.value().revision;
    for (const kv_event& event : changes.value().events) {
      state_.Apply(event, now);
    }
    if (!changes.value().events.empty()) {
      NotifyChanged();
      co_await Pause(scope.pause_after_change);
    }
  }
}

void store_watcher::NotifyChanged() {
  for (const error& problem : state_.TakeErrors()) {
    log_event(log_level::kWarn, "malformed value ignored")
        .With(problem)
        .Write();
  }
  on_change_(state_);
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
    if (!cancelled && state_.RemoveLapsedEndpoints(BootNow())) {
      NotifyChanged();
    }
  });
}

void store_watcher::RecordLeaving(const endpoint_instance& endpoint) {
  if (state_.RecordLeaving(endpoint, BootNow())) {
    log_event(log_level::kInfo, "endpoint is leaving")
        .With("endpoint", endpoint.endpoint)
        .Write();
    NotifyChanged();
  }
}

void store_watcher::ExpectRevision(std::uint64_t revision) {
  const store_version expected(revision);
  if (state_.RaiseRevisionTo(expected)) {
    NotifyChanged();
  }
  const bool timer_is_running =
      !state_.Covers(store_version(expected_revision_));
  expected_revision_ = std::max(expected_revision_, revision);
  if (timer_is_running || state_.Covers(expected)) {
    return;
  }
  expectation_timer_.expires_after(kExpectationTimeout);
  expectation_timer_.async_wait([this](boost::system::error_code cancelled) {
    if (!cancelled) {
      CheckExpectation();
    }
  });
}

void store_watcher::CheckExpectation() {
  if (state_.Covers(store_version(expected_revision_))) {
    return;
  }
  log_event(log_level::kWarn, "watch is behind other daemons")
      .With("expected", expected_revision_)
      .With("revision", state_.snapshot().revision)
      .Write();
  Restart();
}

}  // namespace bluebell
