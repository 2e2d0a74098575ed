// Hash functions that map keys to slices and order the candidates for a role.
//
//   key_hash hash = HashKey(service_name("tracker"), "bin-4711");

#ifndef BLUEBELL_CORE_KEY_HASH_H_
#define BLUEBELL_CORE_KEY_HASH_H_

#include <cstdint>
#include <string_view>

#include "bluebell/core/ids.h"

namespace bluebell {

// A position in the hash space of a service.
using key_hash = std::uint64_t;

// The position of `key`. It is the same in all processes and releases, because
// stored tables depend on it.
key_hash HashKey(const service_name& service, std::string_view key);

// The weight of `candidate` for the role named `role` in rendezvous hashing.
// The candidate with the highest weight gets the role.
std::uint64_t RendezvousWeight(std::string_view role,
                               std::string_view candidate);

}  // namespace bluebell

#endif  // BLUEBELL_CORE_KEY_HASH_H_
