#include "bluebell/entry/dispatch_gateway.h"

#include <boost/asio/post.hpp>
#include <memory>
#include <utility>

#include "bluebell/dispatcher/dispatcher_set.h"
#include "bluebell/entry/peer_forwarder.h"

namespace bluebell {

dispatch_gateway::dispatch_gateway(metrics_registry& metrics)
    : metrics_(&metrics) {}

void dispatch_gateway::AddLane(lane added) {
  lanes_.push_back(added);
}

outcome_sink dispatch_gateway::PostingTo(std::size_t to, outcome_sink sink) {
  const request_id id = sink.id();
  // A receiver must be copyable, a sink isn't.
  auto held = std::make_shared<outcome_sink>(std::move(sink));
  return {id, *metrics_,
          [io = lanes_[to].io, held](const request_id& /*id*/,
                                     request_outcome outcome) {
            boost::asio::post(*io,
                              [held, ended = std::move(outcome)]() mutable {
                                held->Deliver(std::move(ended));
                              });
          }};
}

void dispatch_gateway::Dispatch(std::size_t from,
                                const endpoint_instance& instance,
                                dispatch_submission submission) {
  const std::size_t to = ThreadOf(instance, lanes_.size());
  dispatcher_set* dispatchers = lanes_[to].dispatchers;
  if (to == from) {
    dispatchers->Submit(instance, std::move(submission));
    return;
  }
  submission.sink = PostingTo(from, std::move(submission.sink));
  Post(instance, std::move(submission));
}

void dispatch_gateway::Post(const endpoint_instance& instance,
                            dispatch_submission submission) {
  const lane& owner = lanes_[ThreadOf(instance, lanes_.size())];
  boost::asio::post(*owner.io, [dispatchers = owner.dispatchers, instance,
                                moved = std::move(submission)]() mutable {
    dispatchers->Submit(instance, std::move(moved));
  });
}

void dispatch_gateway::Abandon(const endpoint_instance& instance,
                               const request_id& id,
                               std::uint64_t waiter) {
  const lane& owner = lanes_[ThreadOf(instance, lanes_.size())];
  boost::asio::post(*owner.io,
                    [dispatchers = owner.dispatchers, instance, id, waiter] {
                      dispatchers->Abandon(instance, id, waiter);
                    });
}

void dispatch_gateway::Forward(std::size_t from,
                               const order_target& target,
                               dispatch_submission submission) {
  lanes_[from].forwarder->Forward(target, std::move(submission));
}

}  // namespace bluebell
