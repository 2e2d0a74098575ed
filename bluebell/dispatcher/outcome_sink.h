// Delivers exactly one outcome of a request. The owner of the sink has to call
// Deliver(). A sink that is destroyed before that reports a violation and
// delivers `unknown`, because it isn't known then whether the request ran.
//
//   outcome_sink sink(id, metrics, receiver);
//   std::move(sink).Deliver(outcome);

#ifndef BLUEBELL_DISPATCHER_OUTCOME_SINK_H_
#define BLUEBELL_DISPATCHER_OUTCOME_SINK_H_

#include <functional>

#include "bluebell/core/request_id.h"
#include "bluebell/core/request_outcome.h"

namespace bluebell {

class metrics_registry;

class outcome_sink {
 public:
  using receiver =
      std::function<void(const request_id& id, request_outcome outcome)>;

  outcome_sink(const request_id& id,
               metrics_registry& metrics,
               receiver receive);
  outcome_sink(outcome_sink&& other) noexcept;
  outcome_sink& operator=(outcome_sink&& other) noexcept;
  outcome_sink(const outcome_sink&) = delete;
  outcome_sink& operator=(const outcome_sink&) = delete;
  ~outcome_sink();

  const request_id& id() const { return id_; }

  // Passes `outcome` to the receiver. A second call reports a violation and has
  // no other effect.
  void Deliver(request_outcome outcome);

 private:
  void DeliverUnknownIfPending();

  request_id id_;
  metrics_registry* metrics_;
  // Empty after the delivery or after a move from this sink.
  receiver receive_;
  bool pending_ = true;
};

}  // namespace bluebell

#endif  // BLUEBELL_DISPATCHER_OUTCOME_SINK_H_
