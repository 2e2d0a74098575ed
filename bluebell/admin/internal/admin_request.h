// Translates an operator's HTTP request into a command or a refusal.

#ifndef BLUEBELL_ADMIN_INTERNAL_ADMIN_REQUEST_H_
#define BLUEBELL_ADMIN_INTERNAL_ADMIN_REQUEST_H_

#include <string>
#include <variant>

#include "bluebell/control/operator_command.h"
#include "bluebell/core/request_id.h"
#include "bluebell/http/http_message.h"

namespace bluebell {

// Shows the metrics in the text format.
struct show_metrics {
  friend bool operator==(const show_metrics&, const show_metrics&) = default;
};

// Shows how the request with this id was routed and how it ended.
struct explain_request {
  request_id id;

  friend bool operator==(const explain_request&,
                         const explain_request&) = default;
};

// The request is invalid or its path is unknown. `reply` is the answer.
struct admin_refusal {
  operator_reply reply;

  friend bool operator==(const admin_refusal&, const admin_refusal&) = default;
};

using admin_request = std::
    variant<operator_command, show_metrics, explain_request, admin_refusal>;

admin_request ReadAdminRequest(const http_request& request);

// An answer with the given HTTP status and a JSON object with the field
// "error".
operator_reply AdminError(unsigned status, const std::string& text);

}  // namespace bluebell

#endif  // BLUEBELL_ADMIN_INTERNAL_ADMIN_REQUEST_H_
