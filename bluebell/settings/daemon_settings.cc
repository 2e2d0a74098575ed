#include "bluebell/settings/daemon_settings.h"

#include <array>

#include <boost/json/value.hpp>

#include "bluebell/settings/internal/duplicate_names.h"
#include "bluebell/settings/internal/object_reader.h"
#include "bluebell/settings/internal/problem_list.h"
#include "bluebell/settings/internal/settings_document.h"
#include "bluebell/settings/internal/settings_rules.h"

namespace bluebell {

namespace {

using internal::number_range;
using internal::object_reader;
using internal::presence;
using internal::problem_list;

constexpr auto kLogLevels = std::to_array<std::string_view>(
    {"trace", "debug", "info", "warn", "error"});
// Policies other than "bluebell" are baselines for measurements.
constexpr auto kDispatchPolicies =
    std::to_array<std::string_view>({"bluebell", "fifo", "per_host_limit"});
constexpr auto kPlacementPolicies =
    std::to_array<std::string_view>({"bluebell", "consistent_hash"});

constexpr std::int64_t kMaxSlots = 1'024;
constexpr std::int64_t kMaxConnections = 65'535;
// The most slices of a new table shard. A shard is split at this size, so a new
// one must not be larger.
constexpr std::int64_t kMaxSlices = 4'000;
constexpr std::int64_t kMaxServices = 64;
constexpr std::int64_t kMaxPeers = 1'024;

template <typename Strong>
void ReadName(object_reader& reader, std::string_view name, Strong& out) {
  std::string text;
  reader.Name(name, text);
  out = Strong(std::move(text));
}

peer_settings ReadPeer(object_reader& reader) {
  peer_settings peer;
  ReadName(reader, "id", peer.id);
  ReadName(reader, "domain", peer.domain);
  reader.Address("peer_address", false, peer.peer_address);
  return peer;
}

service_spec ReadService(object_reader& reader) {
  service_spec service;
  ReadName(reader, "name", service.name);
  reader.Flag("keyed", service.keyed);
  reader.Flag("checks_epoch", service.checks_epoch);
  reader.Number("slots", {1, kMaxSlots}, service.slots);
  reader.Number("connections", {1, kMaxConnections}, service.connections);
  reader.Number("initial_slices", {1, kMaxSlices}, service.initial_slices);
  return service;
}

void ReadTiming(object_reader& reader, timing_settings& timing) {
  constexpr number_range kTermRange{20, 60'000};
  constexpr number_range kIntervalRange{5, 60'000};
  constexpr number_range kDelayRange{0, 600'000};
  constexpr std::int64_t kDayMillis = 86'400'000;
  constexpr std::int64_t kMaxDriftPpm = 100'000;
  reader.Milliseconds("lease_term_ms", kTermRange, timing.lease_term);
  reader.Milliseconds("lease_renewal_ms", kIntervalRange, timing.lease_renewal);
  reader.Milliseconds("table_freshness_ms", kTermRange, timing.table_freshness);
  reader.Milliseconds("table_read_interval_ms", kIntervalRange,
                      timing.table_read_interval);
  reader.Milliseconds("detection_ms", kTermRange, timing.detection);
  reader.Milliseconds("domain_autonomy_ms", {0, kDayMillis},
                      timing.domain_autonomy);
  constexpr std::int64_t kWeekMillis = 7 * kDayMillis;
  reader.Milliseconds("region_autonomy_ms", {0, kWeekMillis},
                      timing.region_autonomy);
  reader.Milliseconds("roster_silence_ms", kTermRange, timing.roster_silence);
  reader.Milliseconds("max_order_delay_ms", kDelayRange,
                      timing.max_order_delay);
  reader.Milliseconds("max_clock_error_ms", kDelayRange,
                      timing.max_clock_error);
  reader.Milliseconds("heartbeat_interval_ms", kIntervalRange,
                      timing.heartbeat_interval);
  reader.Milliseconds("proposer_step_ms", kIntervalRange, timing.proposer_step);
  reader.Number("clock_drift_ppm", {0, kMaxDriftPpm}, timing.clock_drift_ppm);
}

void ReadLimits(object_reader& reader, daemon_settings& settings) {
  constexpr number_range kThreadsRange{1, 256};
  constexpr number_range kBodyBytesRange{1'024, 64LL << 20U};
  constexpr number_range kHeaderBytesRange{1'024, 1LL << 20U};
  reader.Number("traffic_threads", kThreadsRange, settings.traffic_threads);
  reader.Number("max_body_bytes", kBodyBytesRange, settings.max_body_bytes);
  reader.Number("max_header_bytes", kHeaderBytesRange,
                settings.max_header_bytes);
}

daemon_settings ReadAll(object_reader& reader) {
  daemon_settings settings;
  ReadName(reader, "id", settings.id);
  ReadName(reader, "domain", settings.domain);
  reader.Name("region", settings.region);
  reader.Address("caller_listen", true, settings.caller_listen);
  reader.Address("admin_listen", true, settings.admin_listen);
  reader.Address("peer_listen", false, settings.peer_listen);
  reader.Address("platform", false, settings.platform);
  reader.Objects("peers", presence::kOptional, {0, kMaxPeers},
                 [&settings](object_reader& peer) {
                   settings.peers.push_back(ReadPeer(peer));
                 });
  reader.Objects("services", presence::kRequired, {1, kMaxServices},
                 [&settings](object_reader& service) {
                   settings.services.push_back(ReadService(service));
                 });
  reader.Object("timing", [&settings](object_reader& timing) {
    ReadTiming(timing, settings.timing);
  });
  ReadLimits(reader, settings);
  reader.Text("log_file", settings.log_file);
  reader.Choice("log_level", kLogLevels, settings.log_level);
  reader.Choice("dispatch_policy", kDispatchPolicies, settings.dispatch_policy);
  reader.Choice("placement_policy", kPlacementPolicies,
                settings.placement_policy);
  return settings;
}

}  // namespace

std::variant<daemon_settings, std::vector<settings_problem>>
daemon_settings::Parse(std::string_view text) {
  const auto document = internal::ParseSettingsDocument(text);
  if (const auto* problem = std::get_if<settings_problem>(&document)) {
    return std::vector{*problem};
  }
  const auto& root = std::get<boost::json::value>(document);
  problem_list problems;
  for (const std::string& path : internal::FindDuplicateNames(text)) {
    problems.Add(path, "given twice", "each name once");
  }
  object_reader reader(root.get_object(), "", problems);
  daemon_settings settings = ReadAll(reader);
  reader.Finish();
  internal::CheckIdentities(settings, problems);
  internal::CheckServices(settings, problems);
  internal::CheckTiming(settings, problems);
  if (!problems.all().empty()) {
    return problems.all();
  }
  return settings;
}

}  // namespace bluebell
