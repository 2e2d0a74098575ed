#include "bluebell/core/outcome.h"

namespace bluebell {

namespace {

constexpr std::array<std::string_view, kOutcomeKinds.size()> kNames = {
    "answer", "not_run", "unknown"};

}  // namespace

std::string_view ToString(outcome_kind value) {
  return kNames.at(static_cast<std::size_t>(value));
}

}  // namespace bluebell
