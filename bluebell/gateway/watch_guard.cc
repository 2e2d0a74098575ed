#include "bluebell/gateway/watch_guard.h"

#include <algorithm>
#include <utility>
#include <variant>

#include <boost/asio/io_context.hpp>

#include "bluebell/core/boot_clock.h"
#include "bluebell/core/overloaded.h"
#include "bluebell/fleet/change_log.h"
#include "bluebell/fleet/fleet_update.h"
#include "bluebell/kv/kv_client.h"
#include "bluebell/net/task.h"
#include "bluebell/telemetry/log_event.h"

namespace bluebell {

namespace {

// The scope of the configuration in the monitor.
constexpr std::size_t kConfigScope = 0;
// A configuration has to be in force within 2 s. The daemons that others ask
// are unconfirmed for 0.7 s at most, so that the others, which ask every 0.5 s,
// stay below their own limit and don't call the store.
constexpr milliseconds kMaxConfigAge{700};
constexpr milliseconds kMaxConfigAgeWithPeers{1'400};
// No bound hangs on the daemons' entries, and peers hand their changes on.
constexpr milliseconds kMaxDaemonsAge{10'000};

store_version LastRevisionOf(const std::vector<kv_event>& events) {
  store_version last;
  for (const kv_event& event : events) {
    std::visit(overloaded{[&](const kv_item& item) {
                            last = std::max(last, item.revision);
                          },
                          [&](const kv_deletion& deletion) {
                            // A watch delivers the deletion at its own
                            // revision, which may be lower.
                            if (deletion.is_exact) {
                              last = std::max(last, deletion.revision);
                            }
                          }},
               event);
  }
  return last;
}

}  // namespace

watch_guard::watch_guard(boost::asio::io_context& io,
                         kv_client& store,
                         const change_log& log,
                         std::string config_key,
                         std::string daemon_prefix,
                         watch_guard_handlers handlers)
    : io_(io),
      store_(store),
      log_(log),
      handlers_(std::move(handlers)),
      monitor_({{std::move(config_key), kMaxConfigAge, kMaxConfigAgeWithPeers},
                {std::move(daemon_prefix), kMaxDaemonsAge, kMaxDaemonsAge}}),
      timer_(io) {}

void watch_guard::BeginWatch(std::string_view prefix,
                             const store_version& position,
                             instant now) {
  for (std::size_t i = 0; i < monitor_.scope_count(); ++i) {
    if (monitor_.prefix(i).starts_with(prefix)) {
      monitor_.Begin(i, position, now);
    }
  }
  if (!std::exchange(active_, true)) {
    // A peer has confirmed nothing yet.
    asking_.Start(peers_, instant());
    SetTimer(now, now);
  }
}

void watch_guard::End() {
  active_ = false;
  timer_.cancel();
}

void watch_guard::OnDelivered(std::string_view prefix,
                              const store_version& position,
                              milliseconds pause,
                              instant now) {
  for (std::size_t i = 0; i < monitor_.scope_count(); ++i) {
    if (monitor_.prefix(i).starts_with(prefix)) {
      monitor_.OnDelivered(i, position, pause, now);
    }
  }
}

void watch_guard::OnConfirmed(instant time) {
  for (std::size_t i = 0; i < monitor_.scope_count(); ++i) {
    monitor_.OnConfirmed(i, time);
  }
}

void watch_guard::SetPeers(std::vector<address> peers) {
  if (peers == peers_) {
    return;
  }
  peers_ = std::move(peers);
  asking_.SetRelays(peers_);
  monitor_.SetHasPeers(!peers_.empty());
  Advance();
}

instant watch_guard::confirmed_at() const {
  return monitor_.confirmed_at(kConfigScope);
}

void watch_guard::OnUpdate(const address& from, const fleet_update& update) {
  const instant now = BootNow();
  if (!active_ || !asking_.OnUpdate(from, update, now) ||
      update.scopes.size() != log_.scope_count()) {
    return;
  }
  for (std::size_t i = 0; i < monitor_.scope_count(); ++i) {
    for (std::size_t j = 0; j < update.scopes.size(); ++j) {
      if (log_.prefix(j) != monitor_.prefix(i)) {
        continue;
      }
      const std::vector<kv_event> events = EventsOf(update.scopes[j]);
      const bool is_known =
          handlers_.on_changes(monitor_.prefix(i), events,
                               store_version(update.scopes[j].up_to), "peer");
      monitor_.OnShown(i, LastRevisionOf(events), watch_witness::kPeer, now);
      // Peers vouch for the configuration only.
      if (is_known && i == kConfigScope) {
        monitor_.OnConfirmed(i, asking_.confirmed_at());
      }
    }
  }
  Advance();
}

instant watch_guard::AskPeers(instant now) {
  follower_action action = asking_.Next(now);
  if (const auto* ask = std::get_if<ask_relay>(&action)) {
    handlers_.send(ask->relay,
                   fleet_update_request{ask->number, log_.positions()});
    action = asking_.Next(now);
  }
  return std::get<wait_until>(action).time;
}

void watch_guard::Advance() {
  if (!active_) {
    return;
  }
  const instant now = BootNow();
  instant next = AskPeers(now);
  bool waits = false;
  while (active_ && !waits) {
    std::visit(
        overloaded{[&](const check_store& check) { StartCheck(check.scope); },
                   [&](const replace_watches& replace) { Replace(replace); },
                   [&](const wait_until& wait) {
                     next = std::min(next, wait.time);
                     waits = true;
                   }},
        monitor_.Next(now));
  }
  SetTimer(next, now);
}

void watch_guard::Replace(const replace_watches& replace) {
  const silent_watch silent{monitor_.prefix(replace.scope), replace.silent_for,
                            replace.shown_by,
                            monitor_.delivered(replace.scope)};
  log_event(log_level::kWarn, "silent watch replaced")
      .With("watch", silent.watch)
      .With("silent_ms",
            std::chrono::duration_cast<milliseconds>(silent.silent_for).count())
      .With("shown_by", Describe(silent.shown_by))
      .With("position", silent.position)
      .Write();
  handlers_.on_silent(silent);
}

void watch_guard::SetTimer(instant time, instant now) {
  timer_.expires_after(std::max<duration>(time - now, milliseconds(1)));
  timer_.async_wait([this](boost::system::error_code cancelled) {
    if (!cancelled) {
      Advance();
    }
  });
}

void watch_guard::StartCheck(std::size_t scope) {
  if (!handlers_.store_is_available()) {
    monitor_.OnCheckEnd(scope, BootNow());
    return;
  }
  SpawnTask(io_.get_executor(), "store check", Check(scope),
            [this, scope] { monitor_.OnCheckEnd(scope, BootNow()); });
}

boost::asio::awaitable<void> watch_guard::Check(std::size_t scope) {
  const instant started_at = BootNow();
  const std::string prefix = monitor_.prefix(scope);
  const result<kv_changes> changes =
      co_await store_.ReadChanges(prefix, log_.PositionOf(prefix));
  const instant now = BootNow();
  monitor_.OnCheckEnd(scope, now);
  if (!active_) {
    co_return;
  }
  if (changes) {
    const kv_changes& read = changes.value();
    const bool is_known =
        handlers_.on_changes(prefix, read.events, read.revision, "check");
    monitor_.OnShown(scope, LastRevisionOf(read.events), watch_witness::kStore,
                     now);
    if (is_known) {
      monitor_.OnConfirmed(scope, started_at);
    }
  } else if (changes.error().code() == errc::kNotFound) {
    handlers_.on_history_lost();
  } else {
    log_event(log_level::kWarn, "store check failed")
        .With("watch", prefix)
        .With(changes.error())
        .Write();
  }
  Advance();
}

}  // namespace bluebell
