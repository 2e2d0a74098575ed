// Records routing decisions: as log lines, and in the ring buffer that the
// `explain` command reads. Used on one traffic thread.
//
//   decision_log decisions(settings);
//   decisions.Record(request, decision);

#ifndef BLUEBELL_RUNTIME_DECISION_LOG_H_
#define BLUEBELL_RUNTIME_DECISION_LOG_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "bluebell/core/caller_request.h"
#include "bluebell/core/request_outcome.h"
#include "bluebell/routing/route.h"
#include "bluebell/runtime/decision_ring.h"

namespace bluebell {

class decision_log {
 public:
  // Writes log lines for one in `log_one_in` requests, at least 1. The ring
  // buffer gets the decisions on all requests.
  explicit decision_log(std::uint32_t log_one_in);

  void Record(const caller_request& request, const route_decision& decision);
  // Records the outcome of a request in the ring buffer only.
  void RecordOutcome(const caller_request& request,
                     const request_outcome& outcome);

  const decision_ring& ring() const { return ring_; }

 private:
  void Add(const caller_request& request,
           std::string_view step,
           const order_target* target,
           std::string why);

  std::uint32_t log_one_in_;
  decision_ring ring_;
};

}  // namespace bluebell

#endif  // BLUEBELL_RUNTIME_DECISION_LOG_H_
