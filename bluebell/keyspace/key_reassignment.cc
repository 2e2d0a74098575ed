#include "bluebell/keyspace/key_reassignment.h"

namespace bluebell {

std::string_view ToText(reassignment_reason reason) {
  switch (reason) {
    case reassignment_reason::kNoOwner:
      return "no owner";
    case reassignment_reason::kReleased:
      return "released";
    case reassignment_reason::kGrantsExpired:
      return "grants expired";
    case reassignment_reason::kProcessEnded:
      return "process ended";
    case reassignment_reason::kReturnsToOwner:
      return "returns to its owner";
  }
  return "";
}

}  // namespace bluebell
