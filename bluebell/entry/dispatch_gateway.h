// Carries requests from the entry routers to the dispatchers and outcomes back,
// between traffic threads by posting, between daemons over links. All functions
// may be called on any traffic thread.
//
//   gateway.Dispatch(my_thread, instance, std::move(submission));

#ifndef BLUEBELL_ENTRY_DISPATCH_GATEWAY_H_
#define BLUEBELL_ENTRY_DISPATCH_GATEWAY_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "bluebell/core/ids.h"
#include "bluebell/core/request_id.h"
#include "bluebell/dispatcher/dispatcher.h"
#include "bluebell/routing/route.h"

namespace bluebell {

class dispatcher_set;
class metrics_registry;
class peer_forwarder;

class dispatch_gateway {
 public:
  // One traffic thread's event loop and the dispatchers on it.
  struct lane {
    boost::asio::io_context* io = nullptr;
    dispatcher_set* dispatchers = nullptr;
    peer_forwarder* forwarder = nullptr;
  };

  explicit dispatch_gateway(metrics_registry& metrics);

  // Called before the threads start.
  void AddLane(lane added);

  // Hands the submission to the dispatcher of `instance`. The outcome arrives
  // on the thread `from`.
  void Dispatch(std::size_t from,
                const endpoint_instance& instance,
                dispatch_submission submission);
  // The same from a thread that isn't a traffic thread; the outcome arrives on
  // the dispatcher's thread.
  void Post(const endpoint_instance& instance, dispatch_submission submission);
  void Abandon(const endpoint_instance& instance,
               const request_id& id,
               std::uint64_t waiter);

  // Hands the submission to the dispatcher on another daemon.
  void Forward(std::size_t from,
               const order_target& target,
               dispatch_submission submission);

  std::size_t lanes() const { return lanes_.size(); }

 private:
  outcome_sink PostingTo(std::size_t to, outcome_sink sink);

  metrics_registry* metrics_;
  std::vector<lane> lanes_;
};

}  // namespace bluebell

#endif  // BLUEBELL_ENTRY_DISPATCH_GATEWAY_H_
