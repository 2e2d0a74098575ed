#include "bluebell/permits/permit_message.h"

namespace bluebell {

std::string_view Describe(permit_refusal reason) {
  switch (reason) {
    case permit_refusal::kOverloaded:
      return "overloaded";
    case permit_refusal::kNoEndpoint:
      return "no endpoint in service";
    case permit_refusal::kOwnerUnavailable:
      return "the key's owner is unavailable";
    case permit_refusal::kShuttingDown:
      return "the daemon is shutting down";
  }
  return "refused";
}

}  // namespace bluebell
