// How the dispatcher of a service decides which requests wait for a slot and
// what it tells those that it refuses.

#ifndef BLUEBELL_PERMITS_ADMISSION_POLICY_H_
#define BLUEBELL_PERMITS_ADMISSION_POLICY_H_

#include <variant>

namespace bluebell {

class route_config;

// A request waits if it is expected to be answered before its deadline. A
// refused caller is told half of the expected wait.
struct simple_admission {
  friend bool operator==(const simple_admission&,
                         const simple_admission&) = default;
};

// Requests that can't be answered within their objective give way to those that
// can. A refused caller is told a time for which capacity is reserved.
struct scheduled_admission {
  friend bool operator==(const scheduled_admission&,
                         const scheduled_admission&) = default;
};

using admission_policy = std::variant<simple_admission, scheduled_admission>;

// Scheduled admission if a route takes uploads, which come in bursts of large
// requests.
admission_policy AdmissionPolicyFor(const route_config& config);

}  // namespace bluebell

#endif  // BLUEBELL_PERMITS_ADMISSION_POLICY_H_
