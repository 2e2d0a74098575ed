#include "bluebell/proxy/permit_client.h"

#include <algorithm>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "bluebell/core/boot_clock.h"
#include "bluebell/core/overloaded.h"
#include "bluebell/permits/dispatcher_order.h"
#include "bluebell/permits/permit_use.h"
#include "bluebell/proxy/peer_socket.h"
#include "bluebell/proxy/permit_dispatcher.h"
#include "bluebell/telemetry/log_event.h"

namespace bluebell {

namespace {

namespace asio = boost::asio;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// A permit request without a reply is sent again after this time, which is a
// few round trips and about as long as the pauses of a busy daemon.
constexpr milliseconds kRequestRetryInterval{70};
// A dispatcher that has not answered for this long gets no more permit requests
// until it is heard from again.
constexpr milliseconds kSilenceTimeout{210};
// A queued permit request is sent again at this interval, to check that it is
// still queued.
constexpr milliseconds kQueuedCheckInterval{250};
// A dispatcher whose state of the store has been older than this daemon's for
// this long is considered disconnected from the store.
constexpr milliseconds kMaxOutdatedTime{1'200};
constexpr milliseconds kReportInterval{250};
// A service is reported on for this long after its last permit request, and as
// long as permits of it are in use.
constexpr milliseconds kReportAfterLastRequest{3'000};
// The most permits that one report lists.
constexpr std::size_t kMaxReportedPermits = 600;

}  // namespace

permit_client::permit_client(asio::io_context& io,
                             daemon_instance self,
                             peer_socket& peers,
                             permit_dispatcher& local_dispatcher)
    : io_(io),
      self_(std::move(self)),
      peers_(peers),
      local_dispatcher_(local_dispatcher),
      report_timer_(io) {}

void permit_client::SetView(fleet_view view) {
  view_ = std::move(view);
  dispatcher_orders_.clear();
}

std::optional<address> permit_client::DispatcherOf(
    const service_name& service) {
  auto order = dispatcher_orders_.find(service);
  if (order == dispatcher_orders_.end()) {
    order =
        dispatcher_orders_.emplace(service, DispatcherOrder(*view_, service))
            .first;
  }
  for (const fleet_member& member : order->second) {
    if (member.instance.id == self_.id) {
      return std::nullopt;
    }
    if (!peer_states_[member.peer].silent) {
      return member.peer;
    }
  }
  return std::nullopt;
}

void permit_client::SendPermitRequest(const permit_request& request,
                                      const std::optional<address>& to) {
  if (to) {
    peers_.Send(*to, request);
    return;
  }
  local_dispatcher_.RequestPermit(
      request,
      [this](const permit_reply& reply) { HandleReply(reply, std::nullopt); },
      BootNow());
}

asio::awaitable<acquire_result> permit_client::Acquire(permit_request request,
                                                       instant deadline) {
  co_await asio::this_coro::throw_if_cancelled(false);
  request.id = {self_.run.value(), next_permit_number_++};
  const instant target_time =
      BootNow() + milliseconds(request.objective_left_ms);
  const auto pending = std::make_shared<pending_request>(io_);
  pending->service = request.service;
  pending_[request.id] = pending;
  instant unanswered_since = BootNow();
  while (!pending->reply) {
    const instant now = BootNow();
    const instant wait_limit = WaitLimit(deadline);
    if (now >= wait_limit) {
      Withdraw(request.id, *pending);
      pending_.erase(request.id);
      const permit_refusal reason = wait_limit < deadline
                                        ? permit_refusal::kShuttingDown
                                        : permit_refusal::kOverloaded;
      co_return acquire_result{request.id, pending->last_dispatcher,
                               permit_refused{request.id, reason, 0}};
    }
    last_requested_[request.service] = now;
    const std::optional<address> to = DispatcherOf(request.service);
    if (to != pending->last_dispatcher) {
      if (pending->last_dispatcher) {
        Withdraw(request.id, *pending);
      }
      pending->last_dispatcher = to;
      pending->queued = false;
      unanswered_since = now;
    }
    request.objective_left_ms =
        std::chrono::duration_cast<milliseconds>(target_time - now).count();
    request.time_left_ms =
        std::chrono::duration_cast<milliseconds>(wait_limit - now).count();
    request.sent_at_ms = ToSentAtMs(now);
    const milliseconds wait_time =
        pending->queued || !to ? kQueuedCheckInterval : kRequestRetryInterval;
    pending->timer.expires_after(
        std::min<duration>(wait_time, wait_limit - now));
    SendPermitRequest(request, to);
    if (pending->reply) {
      break;
    }
    co_await pending->timer.async_wait(kAwait);
    if (pending->reply) {
      break;
    }
    const auto cancelled = co_await asio::this_coro::cancellation_state;
    if (cancelled.cancelled() != asio::cancellation_type::none) {
      Withdraw(request.id, *pending);
      pending_.erase(request.id);
      co_return acquire_result{
          request.id, pending->last_dispatcher,
          permit_refused{request.id, permit_refusal::kOverloaded, 0}};
    }
    if (to) {
      const instant heard = peer_states_[*to].last_heard;
      if (heard < unanswered_since &&
          BootNow() - unanswered_since >= kSilenceTimeout) {
        MarkSilent(*to);
      } else if (heard >= unanswered_since) {
        unanswered_since = heard;
      }
    }
  }
  pending_.erase(request.id);
  const acquire_result acquired{request.id, pending->last_dispatcher,
                                *pending->reply};
  if (const auto* granted = std::get_if<permit_granted>(&acquired.reply)) {
    permits_in_use_[request.id] = {
        {request.id, granted->endpoint.endpoint, request.route, request.rank},
        request.service,
        pending->last_dispatcher};
  }
  co_return acquired;
}

void permit_client::BeginShutdown(const shutdown_window& window) {
  shutdown_ = window;
  // Sends the requests again, with less time.
  for (const auto& [id, pending] : pending_) {
    pending->timer.cancel();
  }
}

instant permit_client::WaitLimit(instant deadline) const {
  return shutdown_ ? std::min(deadline, shutdown_->answer_by()) : deadline;
}

void permit_client::MarkSilent(const address& peer) {
  peer_state& state = peer_states_[peer];
  if (!std::exchange(state.silent, true)) {
    log_event(log_level::kWarn, "dispatcher lost")
        .With("peer", peer.ToString())
        .Write();
  }
}

void permit_client::Withdraw(const permit_id& id,
                             const pending_request& pending) {
  permit_release release;
  release.id = id;
  release.service = pending.service;
  SendRelease(release, pending.last_dispatcher);
}

void permit_client::SendRelease(const permit_release& release,
                                const std::optional<address>& to) {
  if (to) {
    peers_.Send(*to, release);
  } else {
    local_dispatcher_.ReleasePermit(release, BootNow());
  }
}

void permit_client::Release(const permit_release& release) {
  const auto in_use = permits_in_use_.find(release.id);
  if (in_use == permits_in_use_.end()) {
    return;
  }
  const std::optional<address> granting_dispatcher =
      in_use->second.granting_dispatcher;
  permits_in_use_.erase(in_use);
  SendRelease(release, granting_dispatcher);
  const std::optional<address> current = DispatcherOf(release.service);
  if (current != granting_dispatcher) {
    SendRelease(release, current);
  }
}

void permit_client::ReportLeaving(const service_name& service,
                                  const endpoint_instance& endpoint) {
  if (const auto dispatcher = DispatcherOf(service)) {
    peers_.Send(*dispatcher, endpoint_leaving{endpoint});
  }
}

void permit_client::OnReply(const address& from, const permit_reply& reply) {
  HandleReply(reply, from);
}

void permit_client::HandleReply(const permit_reply& reply,
                                const std::optional<address>& from) {
  if (from) {
    peer_state& state = peer_states_[*from];
    state.last_heard = BootNow();
    state.silent = state.silent && state.outdated_since;
  }
  const permit_id id =
      std::visit([](const auto& each) { return each.id; }, reply);
  const auto found = pending_.find(id);
  if (found == pending_.end() || found->second->reply ||
      found->second->last_dispatcher != from) {
    // The permit was granted after the request had ended or had gone to another
    // dispatcher, so it is released unused.
    const auto* granted = std::get_if<permit_granted>(&reply);
    if (granted != nullptr && from && !permits_in_use_.contains(id)) {
      permit_release release;
      release.id = id;
      release.service = granted->service;
      SendRelease(release, from);
    }
    return;
  }
  pending_request& pending = *found->second;
  std::visit(overloaded{[&](const permit_queued&) { pending.queued = true; },
                        [&](const auto& last) {
                          pending.reply = last;
                          pending.timer.cancel();
                        }},
             reply);
}

void permit_client::OnReportAck(const address& from,
                                const permit_report_ack& ack) {
  const instant now = BootNow();
  peer_state& state = peer_states_[from];
  state.last_heard = now;
  const bool outdated = view_ && ack.revision < view_->revision.value();
  if (!outdated) {
    state.outdated_since.reset();
  } else if (!state.outdated_since) {
    state.outdated_since = now;
  }
  if (outdated && now - *state.outdated_since >= kMaxOutdatedTime) {
    // This daemon can reach the store and that one apparently can't.
    MarkSilent(from);
    return;
  }
  if (!outdated && std::exchange(state.silent, false)) {
    log_event(log_level::kInfo, "dispatcher regained")
        .With("peer", from.ToString())
        .Write();
  }
}

void permit_client::StartReports() {
  report_timer_.expires_after(kReportInterval);
  report_timer_.async_wait([this](boost::system::error_code cancelled) {
    if (!cancelled) {
      StartReports();
      ReportAll();
    }
  });
}

void permit_client::ReportAll() {
  if (!view_) {
    return;
  }
  const instant now = BootNow();
  std::erase_if(last_requested_, [now](const auto& entry) {
    return now - entry.second > kReportAfterLastRequest;
  });
  std::set<service_name> services;
  for (const auto& [service, at] : last_requested_) {
    services.insert(service);
  }
  for (const auto& [id, in_use] : permits_in_use_) {
    services.insert(in_use.service);
  }
  for (const service_name& service : services) {
    const std::optional<address> current = DispatcherOf(service);
    Report(service, current);
    // Silent daemons earlier in the order get reports too: their answer shows
    // that they are available again.
    for (const fleet_member& member : dispatcher_orders_[service]) {
      if (member.peer == current || member.instance.id == self_.id) {
        break;
      }
      Report(service, member.peer);
    }
  }
}

void permit_client::Report(const service_name& service,
                           const std::optional<address>& to) {
  permit_report report;
  report.holder = self_.run.value();
  report.service = service;
  report.revision = view_->revision.value();
  for (const auto& [id, in_use] : permits_in_use_) {
    if (in_use.service == service && report.open.size() < kMaxReportedPermits) {
      report.open.push_back(in_use.open);
    }
  }
  if (to) {
    peers_.Send(*to, report);
  } else {
    local_dispatcher_.Report(report, BootNow());
  }
}

}  // namespace bluebell
