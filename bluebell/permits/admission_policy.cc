#include "bluebell/permits/admission_policy.h"

#include "bluebell/fleet/route_config.h"

namespace bluebell {

admission_policy AdmissionPolicyFor(const route_config& config) {
  if (config.takes_uploads()) {
    return scheduled_admission();
  }
  return simple_admission();
}

}  // namespace bluebell
