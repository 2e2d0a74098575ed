#include "bluebell/core/request_outcome.h"

#include <array>
#include <cstddef>

#include "bluebell/core/overloaded.h"

namespace bluebell {

namespace {

// In the order of `not_run_reason`.
constexpr auto kNotRunNames = std::to_array<std::string_view>({
    "invalid_request",
    "unknown_service",
    "deadline_expired",
    "overloaded",
    "no_owner",
    "no_endpoint",
    "endpoint_unreachable",
    "refused_by_endpoint",
    "withdrawn",
    "shutting_down",
});

// In the order of `unknown_reason`.
constexpr auto kUnknownNames = std::to_array<std::string_view>({
    "connection_lost",
    "no_answer_in_time",
    "truncated_answer",
    "dispatcher_lost",
    "repeat_of_forgotten_request",
});

}  // namespace

std::string_view ToString(not_run_reason value) {
  return kNotRunNames.at(static_cast<std::size_t>(value));
}

std::string_view ToString(unknown_reason value) {
  return kUnknownNames.at(static_cast<std::size_t>(value));
}

outcome_kind KindOf(const request_outcome& outcome) {
  return std::visit(
      overloaded{[](const answer&) { return outcome_kind::kAnswer; },
                 [](const not_run&) { return outcome_kind::kNotRun; },
                 [](const unknown&) { return outcome_kind::kUnknown; }},
      outcome);
}

}  // namespace bluebell
