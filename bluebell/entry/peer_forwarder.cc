#include "bluebell/entry/peer_forwarder.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <string>
#include <utility>

#include "bluebell/core/overloaded.h"
#include "bluebell/entry/forward_mapping.h"
#include "bluebell/peer/peer_link.h"
#include "bluebell/runtime/clock.h"
#include "bluebell/runtime/invariant.h"
#include "bluebell/telemetry/log_event.h"

namespace bluebell {

namespace {

constexpr milliseconds kQueryTimeout{300};
// A request that still runs is asked about again after this.
constexpr milliseconds kQueryInterval{25};
// Unanswered queries after which the dispatcher counts as lost.
constexpr int kMaxFailedQueries = 3;
constexpr milliseconds kLedgerTimeout{2'000};

milliseconds Left(instant deadline) {
  return std::max(milliseconds(1),
                  std::chrono::ceil<milliseconds>(deadline - Now()));
}

}  // namespace

// One forwarded request, from the message to the outcome.
class peer_forwarder::forwarded
    : public std::enable_shared_from_this<forwarded> {
 public:
  forwarded(traffic_context context,
            peer_link& link,
            endpoint_instance endpoint,
            dispatch_submission submission)
      : context_(std::move(context)),
        link_(&link),
        endpoint_(std::move(endpoint)),
        request_(std::move(submission.request)),
        sink_(std::move(submission.sink)),
        timer_(*context_.io) {}

  void Start() {
    link_->SendRequest(
        ToForward(*request_, endpoint_, Now()), Left(request_->deadline),
        [self = shared_from_this()](const result<wire_message>& reply) {
          self->OnReply(reply);
        });
  }

 private:
  void OnReply(const result<wire_message>& reply) {
    if (reply) {
      const auto* ended = std::get_if<forward_reply>(&reply.value());
      OnOutcome(ended);
      return;
    }
    const error& failure = reply.error();
    if (failure.code() == errc::kUnavailable ||
        failure.code() == errc::kTooLarge) {
      sink_.Deliver(not_run{not_run_reason::kEndpointUnreachable,
                            "the dispatcher can't be reached",
                            milliseconds(0)});
    } else {
      Query();
    }
  }

  void OnOutcome(const forward_reply* ended) {
    if (ended != nullptr && ended->id == request_->id) {
      sink_.Deliver(ended->outcome);
      return;
    }
    ReportViolation(*context_.metrics, invariant::kOwnAnswer, request_->id,
                    "a link gave another message than the answer asked for");
    sink_.Deliver(
        unknown{unknown_reason::kConnectionLost,
                "the dispatcher's answer belongs to another request"});
  }

  void Query() {
    if (Now() >= request_->deadline) {
      sink_.Deliver(unknown{unknown_reason::kNoAnswerInTime,
                            "no answer from the dispatcher in time"});
      return;
    }
    link_->SendRequest(
        QueryFor(*request_, endpoint_),
        std::min(kQueryTimeout, Left(request_->deadline)),
        [self = shared_from_this()](const result<wire_message>& reply) {
          self->OnStanding(reply);
        });
  }

  void OnStanding(const result<wire_message>& reply) {
    const auto* state =
        reply ? std::get_if<query_reply>(&reply.value()) : nullptr;
    if (state == nullptr || state->id != request_->id) {
      if (++failed_queries_ >= kMaxFailedQueries) {
        sink_.Deliver(unknown{unknown_reason::kDispatcherLost,
                              "the dispatcher doesn't answer"});
      } else {
        QueryLater();
      }
      return;
    }
    failed_queries_ = 0;
    std::visit(
        overloaded{
            [&](const request_withdrawn&) {
              sink_.Deliver(not_run{not_run_reason::kWithdrawn,
                                    "withdrawn before it was sent",
                                    milliseconds(0)});
            },
            [&](const request_running&) { QueryLater(); },
            [&](const request_ended& ended) { sink_.Deliver(ended.outcome); }},
        state->state);
  }

  void QueryLater() {
    timer_.expires_after(kQueryInterval);
    timer_.async_wait(
        [self = shared_from_this()](boost::system::error_code failure) {
          if (!failure) {
            self->Query();
          }
        });
  }

  traffic_context context_;
  peer_link* link_;
  endpoint_instance endpoint_;
  std::shared_ptr<const caller_request> request_;
  outcome_sink sink_;
  boost::asio::steady_timer timer_;
  int failed_queries_ = 0;
};

peer_forwarder::peer_forwarder(traffic_context context)
    : context_(std::move(context)) {}

peer_forwarder::~peer_forwarder() = default;

peer_link* peer_forwarder::LinkTo(const address& where) {
  const auto found = links_.find(where);
  if (found != links_.end()) {
    return found->second.get();
  }
  auto made = peer_link::Make(*context_.io, where, peer_link_options(),
                              *context_.metrics);
  if (!made) {
    return nullptr;
  }
  return links_.emplace(where, std::move(made.value())).first->second.get();
}

void peer_forwarder::Forward(const order_target& target,
                             dispatch_submission submission) {
  peer_link* link = LinkTo(target.endpoint.dispatcher_address);
  if (link == nullptr) {
    submission.sink.Deliver(
        not_run{not_run_reason::kEndpointUnreachable,
                "no address of daemon " + target.endpoint.dispatcher.value(),
                milliseconds(0)});
    return;
  }
  std::make_shared<forwarded>(context_, *link, target.endpoint.instance,
                              std::move(submission))
      ->Start();
}

void peer_forwarder::SendLedger(const address& to,
                                const ledger_transfer& ledger) {
  peer_link* link = LinkTo(to);
  if (link == nullptr) {
    return;
  }
  link->SendRequest(
      ledger, kLedgerTimeout,
      [to, endpoint = ledger.endpoint,
       count = ledger.records.size()](const result<wire_message>& reply) {
        const auto* answer =
            reply ? std::get_if<ledger_transfer_reply>(&reply.value())
                  : nullptr;
        log_event(log_level::kInfo, "request ledger transferred")
            .With("endpoint", endpoint.endpoint.value())
            .With("to", to.ToString())
            .With("records", count)
            .With("adopted", answer != nullptr && answer->adopted)
            .Write();
      });
}

void peer_forwarder::SharePressures(
    const std::vector<pressure_update>& updates) {
  for (const auto& [where, link] : links_) {
    for (const pressure_update& update : updates) {
      link->Send(update);
    }
  }
}

}  // namespace bluebell
