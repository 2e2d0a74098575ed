// An order that reaches an endpoint and what the endpoint decides about it.
//
//   order_decision decision = endpoint.Admit(order, clock_ns);
//   if (const auto* refusal = std::get_if<refuse_order>(&decision)) {
//     Respond(ToString(refusal->reason));
//   }

#ifndef BLUEBELL_TESTING_ENDPOINT_ORDER_H_
#define BLUEBELL_TESTING_ENDPOINT_ORDER_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>

#include "bluebell/core/ids.h"
#include "bluebell/core/key_hash.h"
#include "bluebell/core/request_id.h"

namespace bluebell {

// Names the slice under whose ownership an order was sent.
struct slice_claim {
  key_hash first = 0;
  epoch at;

  friend bool operator==(const slice_claim&, const slice_claim&) = default;
};

struct endpoint_order {
  request_id id;
  // The instance that the sender means.
  endpoint_instance to;
  // Present for services divided by key.
  std::optional<slice_claim> slice;
  // The epoch of the dispatcher, if the sender states one.
  std::optional<std::uint64_t> dispatcher_epoch;
  // On the endpoint's clock.
  std::int64_t deadline_ns = 0;

  friend bool operator==(const endpoint_order&,
                         const endpoint_order&) = default;
};

// The reasons of the endpoint protocol. Each means that the order did not run.
enum class refusal : std::uint8_t {
  kNotOwner,
  kWrongInstance,
  kDraining,
  kOverloaded,
  kExpired,
  kStaleDispatcher,
};

std::string_view ToString(refusal value);

// The order runs from now on, until Finish(ticket).
struct run_order {
  std::uint64_t ticket = 0;

  friend bool operator==(const run_order&, const run_order&) = default;
};

// The order waits for a slot; a later Finish decides about it.
struct queue_order {
  std::uint64_t ticket = 0;

  friend bool operator==(const queue_order&, const queue_order&) = default;
};

struct refuse_order {
  refusal reason = refusal::kNotOwner;

  friend bool operator==(const refuse_order&, const refuse_order&) = default;
};

using order_decision = std::variant<run_order, queue_order, refuse_order>;

// The decision on an order that waited under `ticket`: run or refuse.
struct late_decision {
  std::uint64_t ticket = 0;
  order_decision decision;

  friend bool operator==(const late_decision&, const late_decision&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_TESTING_ENDPOINT_ORDER_H_
