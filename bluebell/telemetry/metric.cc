#include "bluebell/telemetry/metric.h"

#include <array>

namespace bluebell {

namespace {

using labels = std::array<std::string_view, 3>;

struct metric_row {
  metric metric_id;
  std::string_view name;
  metric_kind kind;
  // Unused entries at the end are empty.
  labels label_names;
  std::string_view help;
};

constexpr auto kRows = std::to_array<metric_row>({
    {metric::kRequests,
     "bluebell_requests_total",
     metric_kind::kCounter,
     {"service", "rank", "outcome"},
     "Callers' requests that ended, by outcome."},
    {metric::kRequestSeconds,
     "bluebell_request_seconds",
     metric_kind::kHistogram,
     {"service", "rank", "outcome"},
     "Time from receipt of a caller's request to its response."},
    {metric::kRefusals,
     "bluebell_refusals_total",
     metric_kind::kCounter,
     {"service", "reason"},
     "Requests refused with the proof that they did not run."},
    {metric::kForwards,
     "bluebell_forwards_total",
     metric_kind::kCounter,
     {"service"},
     "Requests forwarded to a dispatcher on another daemon."},
    {metric::kRetries,
     "bluebell_retries_total",
     metric_kind::kCounter,
     {"service"},
     "Further attempts of idempotent requests."},
    {metric::kAttempts,
     "bluebell_attempts_total",
     metric_kind::kCounter,
     {"service", "result", "match"},
     "Attempts at endpoints, by result and by what ties the response to it."},
    {metric::kOrdersWritten,
     "bluebell_orders_written_total",
     metric_kind::kCounter,
     {"service"},
     "Requests written to an endpoint."},
    {metric::kLateAnswersDropped,
     "bluebell_late_answers_dropped_total",
     metric_kind::kCounter,
     {"link"},
     "Answers that arrived after their request had ended."},
    {metric::kMessagesDropped,
     "bluebell_messages_dropped_total",
     metric_kind::kCounter,
     {"link", "reason"},
     "Messages from other daemons that were not used."},
    {metric::kStoreCalls,
     "bluebell_store_calls_total",
     metric_kind::kCounter,
     {"operation", "result"},
     "Calls to the platform's store."},
    {metric::kTableWrites,
     "bluebell_table_writes_total",
     metric_kind::kCounter,
     {"service", "cause", "result"},
     "Attempts to write a placement table."},
    {metric::kLeasesRenewed,
     "bluebell_lease_renewals_total",
     metric_kind::kCounter,
     {"result"},
     "Lease requests to endpoints."},
    {metric::kHeartbeatsSent,
     "bluebell_heartbeats_sent_total",
     metric_kind::kCounter,
     {},
     "Heartbeats sent to other daemons."},
    {metric::kHeartbeatsReceived,
     "bluebell_heartbeats_received_total",
     metric_kind::kCounter,
     {},
     "Heartbeats received from other daemons."},
    {metric::kHeartbeatBytes,
     "bluebell_heartbeat_bytes_total",
     metric_kind::kCounter,
     {"direction"},
     "Bytes of heartbeats."},
    {metric::kControlSeconds,
     "bluebell_control_cpu_seconds",
     metric_kind::kHistogram,
     {"event"},
     "Processor time of the control thread for one event."},
    {metric::kSlicesUnowned,
     "bluebell_slices_unowned",
     metric_kind::kGauge,
     {"service"},
     "Slices without an owner, as this daemon sees it."},
    {metric::kConfigVersion,
     "bluebell_config_version",
     metric_kind::kGauge,
     {},
     "Version of the fleet configuration in force on this daemon."},
    {metric::kTableVersion,
     "bluebell_table_version",
     metric_kind::kGauge,
     {"service"},
     "Version of the newest placement table on this daemon."},
    {metric::kQueueLength,
     "bluebell_queue_length",
     metric_kind::kGauge,
     {"service", "rank"},
     "Requests that wait in the queues of this daemon."},
    {metric::kInvariantViolations,
     "bluebell_invariant_violations_total",
     metric_kind::kCounter,
     {"invariant"},
     "Times an invariant did not hold. Anything but zero is a defect."},
    {metric::kSilentWatches,
     "bluebell_silent_watches_total",
     metric_kind::kCounter,
     {"watch", "shown_by"},
     "Watches of the store that were replaced because they missed a change."},
    {metric::kEvacuatedDomains,
     "bluebell_evacuated_domains",
     metric_kind::kGauge,
     {},
     "Failure domains that this daemon sends no requests to."},
    {metric::kStoreEra,
     "bluebell_store_era",
     metric_kind::kGauge,
     {},
     "Times that the store has come back from an older copy."},
    {metric::kColdStartHolds,
     "bluebell_cold_start_holds_total",
     metric_kind::kCounter,
     {"service"},
     "Times the limit of a cold endpoint held requests back, at most one a "
     "second for each."},
    {metric::kReturnPromises,
     "bluebell_return_promises_total",
     metric_kind::kCounter,
     {"service", "result"},
     "Times that refused callers were told to return at, by result."},
    {metric::kDomainRequests,
     "bluebell_domain_requests_total",
     metric_kind::kCounter,
     {"service", "from", "to"},
     "Attempts by the failure domains of the daemon and of the endpoint."},
});

consteval bool RowsFollowEnum() {
  for (std::size_t i = 0; i < kRows.size(); ++i) {
    if (static_cast<std::size_t>(kRows.at(i).metric_id) != i) {
      return false;
    }
  }
  return true;
}
static_assert(RowsFollowEnum(), "the rows stand in the order of the metrics");

std::array<metric_description, kRows.size()> MakeDescriptions() {
  std::array<metric_description, kRows.size()> all_descriptions;
  for (std::size_t i = 0; i < kRows.size(); ++i) {
    const metric_row& row = kRows.at(i);
    std::size_t count = 0;
    while (count < row.label_names.size() &&
           !row.label_names.at(count).empty()) {
      ++count;
    }
    all_descriptions.at(i) = {row.name, row.help, row.kind,
                              std::span(row.label_names).first(count)};
  }
  return all_descriptions;
}

}  // namespace

const metric_description& Describe(metric metric_id) {
  static const auto descriptions = MakeDescriptions();
  return descriptions.at(static_cast<std::size_t>(metric_id));
}

std::size_t MetricCount() {
  return kRows.size();
}

}  // namespace bluebell
