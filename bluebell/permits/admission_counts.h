// What has become of the promises that a dispatcher has made to refused
// callers.

#ifndef BLUEBELL_PERMITS_ADMISSION_COUNTS_H_
#define BLUEBELL_PERMITS_ADMISSION_COUNTS_H_

#include <cstdint>

namespace bluebell {

struct admission_counts {
  // Callers that were told a time for which capacity is reserved.
  std::uint64_t promised = 0;
  // Those that returned at their time and were admitted.
  std::uint64_t kept = 0;
  // Those that returned before their time and were refused again.
  std::uint64_t refused_again = 0;
  // Those whose caller wasn't admitted by shortly after its time.
  std::uint64_t expired = 0;
  // Requests that were refused without a promise.
  std::uint64_t unpromised = 0;

  friend bool operator==(const admission_counts&,
                         const admission_counts&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_PERMITS_ADMISSION_COUNTS_H_
