#include "bluebell/fleet/endpoint_departure.h"

namespace bluebell {

std::string_view Describe(departure_cause cause) {
  switch (cause) {
    case departure_cause::kDraining:
      return "draining";
    case departure_cause::kEvacuated:
      return "evacuated";
    case departure_cause::kLapsing:
      return "lapsing";
    case departure_cause::kRemoved:
      return "removed";
  }
  return "unknown";
}

}  // namespace bluebell
