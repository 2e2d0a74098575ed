#include "bluebell/dispatcher/outcome_sink.h"

#include <utility>

#include "bluebell/runtime/invariant.h"

namespace bluebell {

outcome_sink::outcome_sink(const request_id& id,
                           metrics_registry& metrics,
                           receiver receive)
    : id_(id), metrics_(&metrics), receive_(std::move(receive)) {}

outcome_sink::outcome_sink(outcome_sink&& other) noexcept
    : id_(other.id_),
      metrics_(other.metrics_),
      receive_(std::exchange(other.receive_, nullptr)),
      pending_(std::exchange(other.pending_, false)) {}

outcome_sink& outcome_sink::operator=(outcome_sink&& other) noexcept {
  if (this != &other) {
    DeliverUnknownIfPending();
    id_ = other.id_;
    metrics_ = other.metrics_;
    receive_ = std::exchange(other.receive_, nullptr);
    pending_ = std::exchange(other.pending_, false);
  }
  return *this;
}

outcome_sink::~outcome_sink() {
  DeliverUnknownIfPending();
}

void outcome_sink::DeliverUnknownIfPending() {
  if (pending_) {
    ReportViolation(*metrics_, invariant::kOneOutcome, id_,
                    "the request was dropped without an outcome");
    Deliver(unknown{unknown_reason::kDispatcherLost,
                    "the request was dropped without an outcome"});
  }
}

void outcome_sink::Deliver(request_outcome outcome) {
  if (!pending_) {
    ReportViolation(*metrics_, invariant::kOneOutcome, id_,
                    "the request ended a second time");
    return;
  }
  pending_ = false;
  const receiver receive = std::exchange(receive_, nullptr);
  receive(id_, std::move(outcome));
}

}  // namespace bluebell
