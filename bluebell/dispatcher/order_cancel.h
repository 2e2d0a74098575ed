// Asks an endpoint to cancel an order whose outcome nobody waits for.
//
//   CancelOrder(io, pool, id, instance, where, [](bool unrun) { ... });

#ifndef BLUEBELL_DISPATCHER_ORDER_CANCEL_H_
#define BLUEBELL_DISPATCHER_ORDER_CANCEL_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "bluebell/core/address.h"
#include "bluebell/core/ids.h"
#include "bluebell/core/request_id.h"

namespace bluebell {

class endpoint_pool;

// Sends the cancellation of the order `id` and calls `done` once. Its argument
// is true only if `instance` itself answers that it has removed the order from
// its queue and will never run it.
void CancelOrder(boost::asio::io_context& io,
                 const std::shared_ptr<endpoint_pool>& pool,
                 const request_id& id,
                 const endpoint_instance& instance,
                 const address& where,
                 std::function<void(bool proven_not_run)> done);

}  // namespace bluebell

#endif  // BLUEBELL_DISPATCHER_ORDER_CANCEL_H_
