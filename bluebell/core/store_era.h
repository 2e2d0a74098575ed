// The eras of the platform's store. The store's era rises by one each time the
// store comes back from an older copy; revisions and leases that it assigned
// after that copy was made are lost and assigned again. A store_version
// therefore has the era in its high part and the store's revision in its low
// part, so that comparing two of them orders changes across eras.
//
//   store_version version = VersionIn(era, revision);
//   if (EraOf(version) != current_era) ...

#ifndef BLUEBELL_CORE_STORE_ERA_H_
#define BLUEBELL_CORE_STORE_ERA_H_

#include <cstdint>

#include "bluebell/core/ids.h"
#include "bluebell/core/strong_value.h"

namespace bluebell {

// Zero if the store doesn't state one.
using store_era = strong_value<struct store_era_tag, std::uint64_t>;

// 2^40 revisions last for decades at a thousand writes per second.
inline constexpr unsigned kRevisionBits = 40;
inline constexpr std::uint64_t kMaxStoreEra =
    (std::uint64_t{1} << (64U - kRevisionBits)) - 1;

// `revision` has at most kRevisionBits bits; higher ones are left out.
inline store_version VersionIn(const store_era& era, std::uint64_t revision) {
  constexpr std::uint64_t kRevisionMask =
      (std::uint64_t{1} << kRevisionBits) - 1;
  return store_version((era.value() << kRevisionBits) |
                       (revision & kRevisionMask));
}

inline store_era EraOf(const store_version& version) {
  return store_era(version.value() >> kRevisionBits);
}

// The number by which the store itself knows the version.
inline std::uint64_t RevisionIn(const store_version& version) {
  return version.value() & ((std::uint64_t{1} << kRevisionBits) - 1);
}

}  // namespace bluebell

#endif  // BLUEBELL_CORE_STORE_ERA_H_
