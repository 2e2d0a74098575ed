#include "bluebell/daemon/internal/action_executor.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include <boost/asio/io_context.hpp>

#include "bluebell/core/overloaded.h"
#include "bluebell/telemetry/log_event.h"

namespace bluebell {

namespace {

constexpr seconds kMaxPeerLinkIdle{60};

instant Now() {
  return std::chrono::steady_clock::now();
}

std::string_view NameOf(const write_result& outcome) {
  return std::visit(
      overloaded{[](const write_applied&) { return "ok"; },
                 [](const write_conflict&) { return "conflict"; },
                 [](const write_in_doubt&) { return "in_doubt"; }},
      outcome);
}

template <typename Value>
std::string_view NameOf(const result<Value>& outcome) {
  return outcome ? "ok" : "failed";
}

}  // namespace

action_executor::action_executor(boost::asio::io_context& io,
                                 daemon_id self,
                                 const control_loop_options& options,
                                 platform_client platform,
                                 event_handler deliver,
                                 metrics_registry& metrics)
    : io_(io),
      self_(std::move(self)),
      options_(options),
      platform_(std::move(platform)),
      deliver_(std::move(deliver)),
      metrics_(metrics),
      leases_(io, options.lease_timeout, [this](lease_request_done done) {
        metrics_.Add(metric::kLeasesRenewed, {NameOf(done.reply)});
        deliver_(std::move(done));
      }) {}

std::uint64_t action_executor::RegisterOperator(
    control_loop::operator_reply_handler done) {
  reply_handlers_.emplace(++last_token_, std::move(done));
  return last_token_;
}

void action_executor::Sweep(instant now) {
  leases_.Sweep(now);
  std::erase_if(peers_, [now](const auto& entry) {
    return !entry.second.busy &&
           now - entry.second.last_used > kMaxPeerLinkIdle;
  });
}

void action_executor::operator()(const read_store& action) {
  ReadValue(platform_, action.key,
            [this, key = action.key,
             sent_at = Now()](const result<store_value>& value) {
              metrics_.Add(metric::kStoreCalls, {"read", NameOf(value)});
              deliver_(store_read_done{key, sent_at, value});
            });
}

void action_executor::operator()(const write_store& action) {
  WriteValue(platform_, action.key, action.value, action.expected,
             [this, key = action.key,
              change = action.change](const write_result& outcome) {
               metrics_.Add(metric::kStoreCalls, {"write", NameOf(outcome)});
               deliver_(store_write_done{key, change, outcome});
             });
}

void action_executor::operator()(const read_hosts& /*action*/) {
  ReadHosts(platform_, [this](const result<std::vector<host_entry>>& hosts) {
    metrics_.Add(metric::kStoreCalls, {"hosts", NameOf(hosts)});
    deliver_(hosts_read_done{hosts});
  });
}

void action_executor::operator()(const send_lease_request& action) {
  leases_.Send(action.where, action.request, Now());
}

void action_executor::operator()(const send_heartbeat& action) {
  socket_->Send(action.to, action.message);
}

void action_executor::operator()(const fetch_state& action) {
  peer_entry& peer = peers_[action.where];
  if (peer.busy) {
    return;
  }
  if (!peer.link) {
    result<std::unique_ptr<peer_link>> made =
        peer_link::Make(io_, action.where, peer_link_options(), metrics_);
    if (!made) {
      log_event(log_level::kWarn, "cannot connect to peer to fetch its state")
          .With(made.error())
          .Write();
      peers_.erase(action.where);
      return;
    }
    peer.link = std::move(made).value();
  }
  peer.busy = true;
  peer.last_used = Now();
  peer.link->SendRequest(state_request{self_}, options_.fetch_timeout,
                         [this, action](const result<wire_message>& reply) {
                           peers_[action.where].busy = false;
                           DeliverState(action, reply);
                         });
}

void action_executor::DeliverState(const fetch_state& fetch,
                                   const result<wire_message>& reply) {
  if (!reply) {
    log_event(log_level::kInfo, "fetching the state of a peer failed")
        .With("daemon", fetch.peer.value())
        .With(reply.error())
        .Write();
    return;
  }
  const auto* state = std::get_if<state_reply>(&reply.value());
  if (state == nullptr) {
    metrics_.Add(metric::kMessagesDropped, {"peer", "unexpected"});
    return;
  }
  deliver_(peer_state_received{fetch.peer, state->config, state->tables,
                               state->hosts, state->load});
}

void action_executor::operator()(const publish_snapshot& action) {
  snapshots_.Store(action.snapshot);
  const routing_snapshot& snapshot = *action.snapshot;
  metrics_.Set(metric::kConfigVersion, {},
               static_cast<double>(snapshot.config.version().value()));
  for (const auto& [name, routes] : snapshot.services) {
    const auto unowned = std::count_if(
        routes.slices.begin(), routes.slices.end(),
        [](const slice_route& slice) { return !slice.owner.has_value(); });
    metrics_.Set(metric::kTableVersion, {name.value()},
                 static_cast<double>(routes.version.value()));
    metrics_.Set(metric::kSlicesUnowned, {name.value()},
                 static_cast<double>(unowned));
  }
  if (options_.on_snapshot) {
    options_.on_snapshot(action.snapshot);
  }
}

void action_executor::operator()(const log_decision& action) {
  log_event line(log_level::kInfo, action.message);
  for (const auto& [name, value] : action.fields) {
    line.With(name, value);
  }
  line.Write();
}

void action_executor::operator()(const report_violation& action) {
  metrics_.Add(metric::kInvariantViolations, {action.invariant});
  log_event(log_level::kError, "invariant violated")
      .With("invariant", action.invariant)
      .With("state", action.state)
      .Write();
}

void action_executor::operator()(const answer_operator& action) {
  const auto found = reply_handlers_.find(action.token);
  if (found == reply_handlers_.end()) {
    return;
  }
  const auto done = std::move(found->second);
  reply_handlers_.erase(found);
  done(action.reply);
}

}  // namespace bluebell
