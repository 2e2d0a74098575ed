// The three kinds of outcome that a caller is told.

#ifndef BLUEBELL_CORE_OUTCOME_H_
#define BLUEBELL_CORE_OUTCOME_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace bluebell {

// `kNotRun` means that the request is proven not to have run and never to run
// later. A request that ends without an answer and without that proof is
// `kUnknown`.
enum class outcome_kind : std::uint8_t { kAnswer, kNotRun, kUnknown };

inline constexpr std::array<outcome_kind, 3> kOutcomeKinds = {
    outcome_kind::kAnswer, outcome_kind::kNotRun, outcome_kind::kUnknown};

std::string_view ToString(outcome_kind value);

}  // namespace bluebell

#endif  // BLUEBELL_CORE_OUTCOME_H_
