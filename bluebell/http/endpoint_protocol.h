// Maps requests to the orders that endpoints get and endpoints' responses to
// outcomes.
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

// The refusals that prove that an order was not run.
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

struct order_reply {
  request_outcome outcome;
  // Present if the endpoint proved that it did not run the order.
  std::optional<order_refusal> refusal;
  // The instance that the response names; it is empty if the response names
  // none or a malformed one.
  std::optional<endpoint_instance> from;

  friend bool operator==(const order_reply&, const order_reply&) = default;
};

// The text form of an instance in `Bluebell-Instance`: "ENDPOINT/RUN".
std::string InstanceText(const endpoint_instance& instance);
std::optional<endpoint_instance> ParseInstance(std::string_view text);

// `dispatcher_epoch` lets the endpoint refuse orders of a former dispatcher.
http_request OrderMessage(const caller_request& request,
                          const order_target& target,
                          std::uint64_t dispatcher_epoch,
                          instant now);

// Asks the endpoint to give up an order.
http_request CancelMessage(const request_id& id,
                           const endpoint_instance& instance,
                           const address& where);

// True if the response to a cancellation comes from `asked` and states that the
// order was taken out of its queue and will never run.
bool IsUnrunReply(const http_response& response,
                  const endpoint_instance& asked);

// Reads a whole response to an order for `asked`. A response of another
// instance that isn't a refusal leaves unknown whether the order ran where it
// should have.
order_reply ReadOrderReply(http_response response,
                           const endpoint_instance& asked);

}  // namespace bluebell

#endif  // BLUEBELL_HTTP_ENDPOINT_PROTOCOL_H_
