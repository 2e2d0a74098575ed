// Maps requests to orders, the HTTP messages that ask an endpoint to run a
// request, and endpoints' responses to outcomes. Functions without state, for
// any thread.
//
//   http_request order = OrderMessage(request, target, claim, now);
//   order_reply reply = ReadOrderReply(response, target.endpoint.instance);

#ifndef BLUEBELL_HTTP_ENDPOINT_PROTOCOL_H_
#define BLUEBELL_HTTP_ENDPOINT_PROTOCOL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "bluebell/core/caller_request.h"
#include "bluebell/core/ids.h"
#include "bluebell/core/request_id.h"
#include "bluebell/core/request_outcome.h"
#include "bluebell/core/time.h"
#include "bluebell/http/http_message.h"
#include "bluebell/routing/route.h"

namespace bluebell {

// The refusals by which an endpoint states that it didn't run an order.
enum class order_refusal : std::uint8_t {
  kNotOwner,
  kWrongInstance,
  kDraining,
  kOverloaded,
  kExpired,
  kStaleDispatcher,
};

std::string_view ToString(order_refusal value);
std::optional<order_refusal> ParseOrderRefusal(std::string_view text);

// What a response to an order shows.
struct order_reply {
  request_outcome outcome;
  // Nothing unless the endpoint refused the order, which proves that it didn't
  // run it.
  std::optional<order_refusal> refusal;
  // The instance that the response names; nothing if it names none or a
  // malformed one.
  std::optional<endpoint_instance> from;

  friend bool operator==(const order_reply&, const order_reply&) = default;
};

// The text form of an instance in `Bluebell-Instance`: "ENDPOINT/RUN".
std::string InstanceText(const endpoint_instance& instance);
std::optional<endpoint_instance> ParseInstance(std::string_view text);

// The order to run `request` at `target`, with the time that is left at `now`.
// By `dispatcher_epoch` the endpoint refuses orders of a former dispatcher.
http_request OrderMessage(const caller_request& request,
                          const order_target& target,
                          std::uint64_t dispatcher_epoch,
                          instant now);

// Asks the endpoint to cancel the order for the request `id`.
http_request CancelMessage(const request_id& id,
                           const endpoint_instance& instance,
                           const address& where);

// True if the response to a cancellation comes from `expected_instance` and
// states that the order was removed from its queue, so that it never runs.
bool ConfirmsCancellation(const http_response& response,
                          const endpoint_instance& expected_instance);

// Reads a complete response to an order for `expected_instance`. If another
// instance responds without a refusal, the outcome is unknown: the order may
// have run.
order_reply ReadOrderReply(http_response response,
                           const endpoint_instance& expected_instance);

}  // namespace bluebell

#endif  // BLUEBELL_HTTP_ENDPOINT_PROTOCOL_H_
