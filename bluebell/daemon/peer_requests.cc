#include "bluebell/daemon/peer_requests.h"

#include <memory>
#include <string>
#include <utility>

#include "bluebell/core/overloaded.h"
#include "bluebell/daemon/control_loop.h"
#include "bluebell/daemon/traffic_plane.h"
#include "bluebell/entry/forward_mapping.h"
#include "bluebell/runtime/clock.h"
#include "bluebell/telemetry/metric.h"
#include "bluebell/telemetry/metrics_registry.h"
#include "bluebell/wire/frame.h"

namespace bluebell {

namespace {

// The waiter id of forwarded requests. They are never abandoned, because the
// entry daemon may query their outcome later.
constexpr std::uint64_t kPeerWaiter = 0;

void ServeForward(traffic_plane& plane,
                  metrics_registry& metrics,
                  const forward_request& message,
                  const peer_reply& reply) {
  auto request = FromForward(message, Now());
  if (!request) {
    reply(forward_reply{message.id,
                        not_run{not_run_reason::kInvalidRequest,
                                request.error().detail(), milliseconds(0)}});
    return;
  }
  outcome_sink sink(message.id, metrics,
                    [reply](const request_id& id, request_outcome outcome) {
                      reply(forward_reply{id, std::move(outcome)});
                    });
  plane.Submit(
      message.endpoint,
      {std::make_shared<const caller_request>(std::move(request.value())),
       kPeerWaiter, std::move(sink)});
}

void ServeQuery(traffic_plane& plane,
                const request_query& query,
                const peer_reply& reply) {
  plane.Query(query, [id = query.id, reply](request_state query_result) {
    reply(query_reply{id, std::move(query_result)});
  });
}

void ServeLedger(traffic_plane& plane,
                 const ledger_transfer& transfer,
                 const peer_reply& reply) {
  plane.AdoptLedger(transfer,
                    [endpoint = transfer.endpoint, reply](bool adopted) {
                      reply(ledger_transfer_reply{endpoint, adopted});
                    });
}

}  // namespace

peer_handler ServePeers(traffic_plane& plane,
                        control_loop& control,
                        metrics_registry& metrics) {
  return [&plane, &control, &metrics](const wire_message& message,
                                      const std::string& /*peer*/,
                                      const peer_reply& reply) {
    std::visit(
        overloaded{
            [&](const forward_request& v) {
              ServeForward(plane, metrics, v, reply);
            },
            [&](const request_query& v) { ServeQuery(plane, v, reply); },
            [&](const ledger_transfer& v) { ServeLedger(plane, v, reply); },
            [&](const state_request&) { control.AnswerStateRequest(reply); },
            [&](const pressure_update& v) { plane.OnPressure(v); },
            [&](const auto&) {
              metrics.Add(metric::kMessagesDropped, {"peer", "unexpected"});
            }},
        message);
  };
}

}  // namespace bluebell
