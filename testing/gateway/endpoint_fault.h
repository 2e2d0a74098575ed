// How a faulty endpoint treats a share of its requests.
//
//   endpoint_fault fault = fail_work{{503}, 0.3};

#ifndef TESTING_GATEWAY_ENDPOINT_FAULT_H_
#define TESTING_GATEWAY_ENDPOINT_FAULT_H_

#include <variant>
#include <vector>

#include "testing/response_fault.h"

namespace bluebell {

// One of `kinds` is applied to a response, also to one to an order about keys.
struct spoil_responses {
  std::vector<response_fault> kinds;
  double share = 0;

  friend bool operator==(const spoil_responses&,
                         const spoil_responses&) = default;
};

// The endpoint runs the request and answers with one of `statuses`. The
// response doesn't state that the request has not run.
struct fail_work {
  std::vector<unsigned> statuses;
  double share = 0;

  friend bool operator==(const fail_work&, const fail_work&) = default;
};

// The endpoint states that it has not run the request. The response names the
// attempt or not.
struct turn_work_away {
  bool names_attempt = false;
  double share = 0;

  friend bool operator==(const turn_work_away&,
                         const turn_work_away&) = default;
};

using endpoint_fault = std::variant<spoil_responses, fail_work, turn_work_away>;

}  // namespace bluebell

#endif  // TESTING_GATEWAY_ENDPOINT_FAULT_H_
