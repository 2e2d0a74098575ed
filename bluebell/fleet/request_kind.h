// How often a request of a route may run.

#ifndef BLUEBELL_FLEET_REQUEST_KIND_H_
#define BLUEBELL_FLEET_REQUEST_KIND_H_

#include <cstdint>

namespace bluebell {

enum class request_kind : std::uint8_t {
  // May run more than once.
  kIdempotent,
  // May run once at most.
  kNonIdempotent,
  // Non-idempotent, with a large body.
  kUpload,
  // A kind that this version doesn't know; treated as non-idempotent.
  kUnknown,
};

constexpr bool IsIdempotent(request_kind kind) {
  return kind == request_kind::kIdempotent;
}

}  // namespace bluebell

#endif  // BLUEBELL_FLEET_REQUEST_KIND_H_
