#include "bluebell/runtime/invariant.h"

#include <array>
#include <cstddef>

#include "bluebell/telemetry/log_event.h"
#include "bluebell/telemetry/metric.h"
#include "bluebell/telemetry/metrics_registry.h"

namespace bluebell {

namespace {

// In the order of `invariant`.
constexpr auto kNames = std::to_array<std::string_view>({
    "one_outcome",
    "not_run_proven",
    "written_once",
    "own_answer",
    "asked_instance",
});

}  // namespace

std::string_view ToString(invariant value) {
  return kNames.at(static_cast<std::size_t>(value));
}

void ReportViolation(metrics_registry& metrics,
                     invariant violated,
                     const request_id& id,
                     std::string_view state) {
  metrics.Add(metric::kInvariantViolations, {ToString(violated)});
  log_event(log_level::kError, "invariant violated")
      .With("invariant", ToString(violated))
      .With("request", id.ToString())
      .With("state", state)
      .Write();
}

}  // namespace bluebell
