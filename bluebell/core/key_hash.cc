#include "bluebell/core/key_hash.h"

#include <xxhash.h>

namespace bluebell {

namespace {

std::uint64_t Hash(std::string_view text, std::uint64_t seed) {
  return XXH64(text.data(), text.size(), seed);
}

}  // namespace

key_hash HashKey(const service_name& service, std::string_view key) {
  return Hash(key, Hash(service.value(), 0));
}

std::uint64_t RendezvousWeight(std::string_view role,
                               std::string_view candidate) {
  return Hash(candidate, Hash(role, 1));
}

}  // namespace bluebell
