// Defines the names, labels and kinds of all metrics.
//
// The set of label values must be bounded: keys, request ids and caller names
// must not be label values.

#ifndef BLUEBELL_TELEMETRY_METRIC_H_
#define BLUEBELL_TELEMETRY_METRIC_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace bluebell {

enum class metric : std::uint8_t {
  kRequests,             // labels service, rank, outcome
  kRequestSeconds,       // labels service, rank, outcome; histogram
  kRefusals,             // labels service, reason
  kForwards,             // label service
  kRetries,              // label service
  kAttempts,             // labels service, result, match
  kOrdersWritten,        // label service
  kLateAnswersDropped,   // label link
  kMessagesDropped,      // labels link, reason
  kStoreCalls,           // labels operation, result
  kTableWrites,          // labels service, cause, result
  kLeasesRenewed,        // label result
  kHeartbeatsSent,       // no labels
  kHeartbeatsReceived,   // no labels
  kHeartbeatBytes,       // label direction
  kControlSeconds,       // label event; histogram; CPU of the control thread
  kSlicesUnowned,        // label service; gauge
  kConfigVersion,        // gauge
  kTableVersion,         // label service; gauge
  kQueueLength,          // labels service, rank; gauge
  kInvariantViolations,  // label invariant
  kSilentWatches,        // labels watch, shown_by
  kEvacuatedDomains,     // gauge
  kStoreEra,             // gauge
  kColdStartHolds,       // label service
  kReturnPromises,       // labels service, result
  kDomainRequests,       // labels service, from, to
};

enum class metric_kind : std::uint8_t { kCounter, kGauge, kHistogram };

// How a metric appears in the Prometheus text format.
struct metric_description {
  std::string_view name;
  std::string_view help;
  metric_kind kind = metric_kind::kCounter;
  std::span<const std::string_view> labels;
};

const metric_description& Describe(metric metric_id);

// The number of metrics. The values of `metric` are numbered from zero.
std::size_t MetricCount();

}  // namespace bluebell

#endif  // BLUEBELL_TELEMETRY_METRIC_H_
