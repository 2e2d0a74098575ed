// A query by which an entry daemon asks a dispatcher for the state of a
// forwarded request, after the link that carried the request was lost.

#ifndef BLUEBELL_WIRE_REQUEST_QUERY_H_
#define BLUEBELL_WIRE_REQUEST_QUERY_H_

#include <optional>
#include <string>
#include <variant>

#include "bluebell/core/ids.h"
#include "bluebell/core/request_id.h"
#include "bluebell/core/request_outcome.h"

namespace bluebell {

// Has the same fields as the forward_request, so that the dispatcher finds the
// queue and the ledger of the request.
struct request_query {
  request_id id;
  service_name service;
  std::optional<std::string> key;
  endpoint_instance endpoint;

  friend bool operator==(const request_query&, const request_query&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, service, key, endpoint);
  }
};

// The request was not written to the endpoint and never will be.
struct request_withdrawn {
  friend bool operator==(const request_withdrawn&,
                         const request_withdrawn&) = default;
};

// The request is at the endpoint. The entry daemon must query again for its
// outcome.
struct request_running {
  friend bool operator==(const request_running&,
                         const request_running&) = default;
};

// The request ended with `outcome`.
struct request_ended {
  request_outcome outcome;

  friend bool operator==(const request_ended&, const request_ended&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(outcome);
  }
};

using request_state =
    std::variant<request_withdrawn, request_running, request_ended>;

struct query_reply {
  request_id id;
  request_state state;

  friend bool operator==(const query_reply&, const query_reply&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, state);
  }
};

}  // namespace bluebell

#endif  // BLUEBELL_WIRE_REQUEST_QUERY_H_
