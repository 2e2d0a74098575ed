#include "bluebell/permits/endpoint_pauses.h"

#include <algorithm>

namespace bluebell {

void endpoint_pauses::Record(const service_name& service,
                             const endpoint_instance& endpoint,
                             instant until) {
  instant& end = pauses_[service].try_emplace(endpoint, until).first->second;
  end = std::max(end, until);
}

std::optional<instant> endpoint_pauses::PausedUntil(
    const service_name& service,
    const endpoint_instance& endpoint,
    instant now) const {
  const auto of_service = pauses_.find(service);
  if (of_service == pauses_.end()) {
    return std::nullopt;
  }
  const auto found = of_service->second.find(endpoint);
  if (found == of_service->second.end() || found->second <= now) {
    return std::nullopt;
  }
  return found->second;
}

std::vector<endpoint_instance> endpoint_pauses::PausedEndpoints(
    const service_name& service,
    instant now) {
  std::vector<endpoint_instance> paused;
  const auto of_service = pauses_.find(service);
  if (of_service == pauses_.end()) {
    return paused;
  }
  std::erase_if(of_service->second,
                [now](const auto& entry) { return entry.second <= now; });
  for (const auto& [endpoint, until] : of_service->second) {
    paused.push_back(endpoint);
  }
  if (paused.empty()) {
    pauses_.erase(of_service);
  }
  return paused;
}

}  // namespace bluebell
