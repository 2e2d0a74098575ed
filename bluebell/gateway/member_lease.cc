#include "bluebell/gateway/member_lease.h"

#include <string>
#include <utility>
#include <variant>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "bluebell/core/boot_clock.h"
#include "bluebell/fleet/store_keys.h"
#include "bluebell/gateway/store_watcher.h"
#include "bluebell/kv/kv_client.h"
#include "bluebell/net/task.h"
#include "bluebell/telemetry/log_event.h"

namespace bluebell {

namespace {

namespace asio = boost::asio;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// Until the lease ends, other daemons send permit requests to a daemon that has
// ended, except those that have noticed that it doesn't answer.
constexpr milliseconds kLeaseTerm{6'000};
// The renewals also detect outages of the store.
constexpr milliseconds kRenewalInterval{1'000};
constexpr milliseconds kRetryInterval{300};
// While the store is unavailable, the renewals don't wait for one another: each
// may take until its timeout. The end of an outage must be noticed well within
// 1 s, because endpoints that left during the outage stay in use for 2 s after
// that, and must not be used 3 s after its end.
constexpr milliseconds kOutageRenewalInterval{300};
// The second write expects the entry that the first one has found. It conflicts
// only if the entry changes in between.
constexpr int kWritesPerAnnouncement = 2;
// All daemons announce themselves anew when the store comes back from an older
// copy. Entries that it lacks lapse after 2 s.
constexpr milliseconds kEraSpread{1'000};

}  // namespace

kv_write AnnouncementWrite(const fleet_member& self,
                           store_version expected,
                           kv_lease lease) {
  const std::string key = MemberKey(self.instance.id);
  return {{{key, expected}}, {{key, EncodeMember(self), lease}}};
}

member_lease::member_lease(asio::io_context& io,
                           kv_client& store,
                           store_watcher& watcher,
                           fleet_member self)
    : io_(io),
      store_(store),
      watcher_(watcher),
      self_(std::move(self)),
      random_(std::random_device()()),
      pause_(io) {
  store_.AddEraHandler([this](store_era /*era*/) { OnEraRise(); });
}

void member_lease::OnEraRise() {
  ++rises_;
  announced_ = false;
  entry_revision_ = store_version();
  std::uniform_int_distribution<std::int64_t> spread(0, kEraSpread.count());
  next_call_ = BootNow() + milliseconds(spread(random_));
  pause_.cancel();
}

void member_lease::Start() {
  SpawnTask(io_.get_executor(), "member lease", Run(), [this] { Start(); });
}

void member_lease::Leave() {
  leaving_ = true;
  SpawnTask(io_.get_executor(), "member removal", RemoveEntry());
}

asio::awaitable<void> member_lease::RemoveEntry() {
  if (!announced_) {
    co_return;
  }
  const result<bool> ended = co_await store_.EndLease(lease_);
  if (!ended) {
    // The entry is removed when the lease expires.
    log_event(log_level::kWarn,
              "this daemon's entry in the store was not removed")
        .With(ended.error())
        .Write();
  }
}

asio::awaitable<bool> member_lease::Announce() {
  const result<kv_granted_lease> lease = co_await store_.StartLease(kLeaseTerm);
  if (!lease) {
    watcher_.ReportFailure(lease.error(), BootNow());
    co_return false;
  }
  lease_ = lease.value().lease;
  for (int i = 0; i < kWritesPerAnnouncement; ++i) {
    const result<kv_write_result> written = co_await store_.Write(
        AnnouncementWrite(self_, entry_revision_, lease_));
    if (!written) {
      watcher_.ReportFailure(written.error(), BootNow());
      co_return false;
    }
    watcher_.ReportSuccess(BootNow());
    if (const auto* done = std::get_if<kv_written>(&written.value())) {
      entry_revision_ = done->revision;
      co_return true;
    }
    const auto* conflict = std::get_if<kv_conflict>(&written.value());
    if (conflict == nullptr) {
      co_return false;
    }
    entry_revision_ = conflict->items.empty()
                          ? store_version()
                          : conflict->items.front().revision;
  }
  co_return false;
}

asio::awaitable<void> member_lease::Renew() {
  const kv_lease lease = lease_;
  const instant sent_at = BootNow();
  const result<bool> renewed = co_await store_.RenewLease(lease);
  if (renewed) {
    watcher_.ReportSuccess(BootNow());
    announced_ = announced_ && (renewed.value() || lease != lease_);
  } else if (sent_at >= watcher_.last_success_at()) {
    // A renewal that was sent before a later one succeeded is no sign of a new
    // outage.
    watcher_.ReportFailure(renewed.error(), BootNow());
  }
}

milliseconds member_lease::NextPause() const {
  if (!announced_) {
    return kRetryInterval;
  }
  return watcher_.store_is_available() ? kRenewalInterval
                                       : kOutageRenewalInterval;
}

asio::awaitable<void> member_lease::Run() {
  while (!leaving_) {
    const duration delay = next_call_ - BootNow();
    if (delay > duration(0)) {
      pause_.expires_after(delay);
      co_await pause_.async_wait(kAwait);
      continue;
    }
    if (!announced_) {
      const std::uint64_t rises = rises_;
      const bool written = co_await Announce();
      announced_ = written && rises == rises_;
    } else if (watcher_.store_is_available()) {
      co_await Renew();
    } else {
      SpawnTask(io_.get_executor(), "member lease renewal", Renew(), [] {});
    }
    pause_.expires_after(NextPause());
    co_await pause_.async_wait(kAwait);
  }
}

}  // namespace bluebell
