// The part of coordinator_role that sends orders: grants and releases to
// endpoints, and key tables to the store.

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "bluebell/core/boot_clock.h"
#include "bluebell/core/overloaded.h"
#include "bluebell/fleet/store_keys.h"
#include "bluebell/gateway/coordinator_role.h"
#include "bluebell/gateway/key_order_log.h"
#include "bluebell/gateway/order_clients.h"
#include "bluebell/gateway/store_watcher.h"
#include "bluebell/http/http_client.h"
#include "bluebell/keyspace/rebalance_policy.h"
#include "bluebell/kv/async_call.h"
#include "bluebell/kv/kv_client.h"
#include "bluebell/net/task.h"
#include "bluebell/proxy/traffic_server.h"
#include "bluebell/telemetry/log_event.h"
#include "platform/key_orders.h"

namespace bluebell {

namespace {

namespace asio = boost::asio;

constexpr milliseconds kWriteRetryInterval{200};
constexpr milliseconds kGrantConnectionIdleTimeout{6'000};
// The replies are short; a faulty endpoint may send bytes without end.
constexpr std::uint64_t kMaxOrderReplyBytes = 64U << 10U;

}  // namespace

void coordinator_role::Execute(const service_name& service,
                               const std::vector<coordinator_action>& actions) {
  const std::uint64_t term = authority_.term();
  if (view_ && !actions.empty()) {
    CloseUnlistedClients(clients_, *view_);
  }
  // If an exception leaves the coroutine, the order counts as unanswered.
  // Without any result it would count as in flight for the rest of the term.
  const auto spawn =
      [&](asio::awaitable<void> coroutine,
          std::function<void(coordinated_service&, instant)> on_failure) {
        SpawnTask(io_.get_executor(), "order about keys", std::move(coroutine),
                  [this, term, service, on_failure = std::move(on_failure)] {
                    coordinated_service* coordinated = FindService(service);
                    if (coordinated != nullptr && term == authority_.term()) {
                      on_failure(*coordinated, BootNow());
                    }
                  });
      };
  for (const coordinator_action& action : actions) {
    std::visit(
        overloaded{
            [&](const send_grant& order) {
              spawn(Grant(term, service, order),
                    [order](coordinated_service& coordinated, instant now) {
                      coordinated.keys.OnGrantReply(order, now, grant_reply(),
                                                    now);
                    });
            },
            [&](const send_release& order) {
              spawn(Release(term, service, order),
                    [order](coordinated_service& coordinated, instant now) {
                      coordinated.keys.OnReleaseReply(order, std::nullopt, now);
                    });
            },
            [&](const write_key_table& order) {
              services_.at(service)->write_in_flight = true;
              spawn(WriteTable(term, service, order), OnWriteWithoutResult);
            },
            [&](const resign_coordinator&) { Resign(); }},
        action);
    if (authority_.term() != term) {
      return;
    }
  }
}

bool coordinator_role::MaySend(order_kind kind, std::uint64_t term) const {
  return authority_.MaySend(kind, term, lease_.proven_at(), BootNow());
}

void coordinator_role::CancelReleases() {
  for (const std::weak_ptr<http_client>& each :
       std::exchange(releases_in_flight_, {})) {
    if (const std::shared_ptr<http_client> client = each.lock()) {
      client->CancelCalls();
    }
  }
}

http_client* coordinator_role::ClientOf(const address& where) {
  std::unique_ptr<http_client>& client = clients_[where];
  if (!client) {
    http_client_options options;
    options.idle_timeout = kGrantConnectionIdleTimeout;
    options.max_body_bytes = kMaxOrderReplyBytes;
    auto new_client = http_client::Make(io_, where, options);
    if (!new_client) {
      return nullptr;
    }
    client = std::move(new_client.value());
  }
  return client.get();
}

asio::awaitable<void> coordinator_role::Grant(std::uint64_t term,
                                              service_name service,
                                              send_grant order) {
  coordinated_service* coordinated = FindService(service);
  if (coordinated == nullptr || term != authority_.term()) {
    co_return;
  }
  const instant sent_at = BootNow();
  http_client* client = ClientOf(order.where);
  if (client == nullptr) {
    coordinated->keys.OnGrantReply(order, sent_at, {std::nullopt, false},
                                   sent_at);
    co_return;
  }
  const result<http_response> response = co_await AsyncCall(
      *client, platform::EncodeGrant(order.endpoint.endpoint, order.grant),
      timing_.call_timeout, step::kGrantLease, [&] {
        const bool may_send = MaySend(order_kind::kGrant, term);
        if (may_send) {
          LogGrantSent(service, term, order, BootNow());
        }
        return may_send;
      });
  coordinated = FindService(service);
  if (coordinated == nullptr || term != authority_.term()) {
    co_return;
  }
  grant_reply reply;
  if (response) {
    reply.verdict = platform::DecodeGrantReply(response.value());
  } else {
    reply.sent = response.error().code() != errc::kUnavailable;
  }
  const instant now = BootNow();
  LogGrantReply(service, term, order, reply, response, sent_at, now);
  coordinated->keys.OnGrantReply(order, sent_at, reply, now);
  ReportUnservedRanges(service, *coordinated);
}

asio::awaitable<void> coordinator_role::Release(std::uint64_t term,
                                                service_name service,
                                                send_release order) {
  coordinated_service* coordinated = FindService(service);
  if (coordinated == nullptr || term != authority_.term()) {
    co_return;
  }
  // Orders have no id that a response could name, and the response to a release
  // proves that no work runs on the keys any more.
  http_client_options options;
  options.reuse_connections = false;
  options.max_body_bytes = kMaxOrderReplyBytes;
  auto made = http_client::Make(io_, order.where, options);
  const instant sent_at = BootNow();
  if (!made) {
    coordinated->keys.OnReleaseUnsent(order, sent_at);
    co_return;
  }
  const std::shared_ptr<http_client> client = std::move(made.value());
  std::erase_if(releases_in_flight_,
                [](const auto& each) { return each.expired(); });
  releases_in_flight_.push_back(client);
  const result<http_response> response = co_await AsyncCall(
      *client, platform::EncodeRelease(order.endpoint.endpoint, order.release),
      timing_.release_timeout, step::kGrantLease, [&] {
        const bool may_send = MaySend(order_kind::kRelease, term);
        if (may_send) {
          LogReleaseSent(service, term, order, BootNow());
        }
        return may_send;
      });
  coordinated = FindService(service);
  if (coordinated == nullptr || term != authority_.term()) {
    co_return;
  }
  std::optional<std::string> handover;
  if (response) {
    const result<std::string> decoded =
        platform::DecodeReleaseReply(response.value());
    if (decoded) {
      handover = decoded.value();
    }
  }
  const instant now = BootNow();
  LogReleaseReply(service, term, order, handover.has_value(), sent_at, now);
  const bool is_unsent =
      !response && response.error().code() == errc::kUnavailable;
  if (!response && !MaySend(order_kind::kRelease, term)) {
    coordinated->keys.OnReleaseWithdrawn(order, now);
  } else if (is_unsent) {
    coordinated->keys.OnReleaseUnsent(order, now);
  } else {
    coordinated->keys.OnReleaseReply(order, std::move(handover), now);
  }
  TickAsCoordinator(now);
}

asio::awaitable<void> coordinator_role::WriteTable(std::uint64_t term,
                                                   service_name service,
                                                   write_key_table order) {
  if (!MaySend(order_kind::kTableWrite, term)) {
    co_return;
  }
  const store_era era = asserted_era_;
  if (era != store_.era()) {
    if (coordinated_service* unwritten = FindService(service)) {
      OnWriteWithoutResult(*unwritten, BootNow());
    }
    co_return;
  }
  const kv_write write{{{std::string(kCoordinatorKey), lease_.revision()},
                        {TableKey(service), order.expected}},
                       {{TableKey(service), order.table.ToJson(), kv_lease()}}};
  const result<kv_write_result> written = co_await store_.Write(write);
  coordinated_service* coordinated = FindService(service);
  if (coordinated == nullptr || term != authority_.term()) {
    co_return;
  }
  const instant now = BootNow();
  if (era != asserted_era_) {
    // The tables have been asserted in a later era, with writes of their own.
    co_return;
  }
  if (era != store_.era()) {
    // The store may have lost the write with its era, and a conflict says
    // nothing about the table that it has now.
    OnWriteWithoutResult(*coordinated, now);
    co_return;
  }
  if (!written) {
    watcher_.ReportFailure(written.error(), now);
    OnWriteWithoutResult(*coordinated, now);
    co_return;
  }
  coordinated->write_in_flight = false;
  std::visit(
      overloaded{[&](const kv_written& done) {
                   coordinated->keys.OnWritten(done.revision, now);
                   LogReassignments(service, term, order, now);
                   log_event(log_level::kInfo, "keys assigned")
                       .With("service", service)
                       .With("ranges", order.table.assignments().size())
                       .With("highest_fence", order.table.highest_fence())
                       .With("revision", done.revision)
                       .Write();
                   // Calls this class again, through the new view.
                   PublishTable(service, order.table, done.revision);
                 },
                 [&](const kv_conflict& conflict) {
                   OnTableConflict(service, *coordinated, order, conflict);
                 },
                 [&](const kv_lease_ended&) {}},
      written.value());
  // The published table may have ended the role.
  if (term != authority_.term()) {
    co_return;
  }
  TickAsCoordinator(now);
}

void coordinator_role::PublishTable(const service_name& service,
                                    const key_table& table,
                                    const store_version& revision) {
  // Until the dispatcher knows the new owners, it sends requests to the former
  // ones, which turn them away. With few moves, waiting for the watch costs
  // less than a view more for each write.
  if (std::holds_alternative<complete_rebalance>(
          RebalancePolicyFor(view_->EndpointsOf(service).size()))) {
    watcher_.OnTableWritten(service, table, revision);
  }
}

void coordinator_role::OnWriteWithoutResult(coordinated_service& coordinated,
                                            instant now) {
  coordinated.write_in_flight = false;
  coordinated.next_write = now + kWriteRetryInterval;
  // The write may have taken effect. The key coordinator repeats it, and the
  // response to the repeat shows whether it had.
  coordinated.keys.OnWriteUnknown();
}

void coordinator_role::OnTableConflict(const service_name& service,
                                       coordinated_service& coordinated,
                                       const write_key_table& order,
                                       const kv_conflict& conflict) {
  const instant now = BootNow();
  coordinated.next_write = now + kWriteRetryInterval;
  key_table current;
  store_version revision;
  for (const kv_item& item : conflict.items) {
    if (item.key != TableKey(service)) {
      continue;
    }
    revision = item.revision;
    result<key_table> decoded = key_table::FromJson(item.value);
    if (!decoded) {
      log_event(log_level::kError, "key table can't be decoded")
          .With(decoded.error())
          .Write();
      return;
    }
    current = std::move(decoded).value();
  }
  if (current == order.table && revision != order.expected) {
    // An earlier attempt whose response was lost has written this table.
    coordinated.keys.OnWritten(revision, now);
    LogReassignments(service, authority_.term(), order, now);
    return;
  }
  log_event(log_level::kWarn, "keys not assigned")
      .With("service", service)
      .With("expected", order.expected)
      .With("found", revision)
      .Write();
  coordinated.keys.OnNotWritten(current, revision, now);
}

}  // namespace bluebell
