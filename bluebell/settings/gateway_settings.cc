#include "bluebell/settings/gateway_settings.h"

#include <array>

#include <boost/json/value.hpp>

#include "bluebell/settings/internal/duplicate_names.h"
#include "bluebell/settings/internal/object_reader.h"
#include "bluebell/settings/internal/problem_list.h"
#include "bluebell/settings/internal/settings_document.h"

namespace bluebell {

namespace {

using internal::number_range;
using internal::object_reader;
using internal::problem_list;

constexpr auto kLogLevels = std::to_array<std::string_view>(
    {"trace", "debug", "info", "warn", "error"});
constexpr number_range kCpuMillisRange{1, 1'000'000};
constexpr number_range kMemoryMegabytesRange{16, 1'048'576};
constexpr number_range kGraceMillisRange{500, 3'600'000};
constexpr number_range kGrantLifetimeMillisRange{500, 3'600'000};
// In thousandths.
constexpr number_range kRetryShareThousandthsRange{0, 1'000};
constexpr number_range kRetryReserveRange{0, 1'000'000};
constexpr number_range kCrossDomainPriceRange{0, 1'000'000};
constexpr std::int64_t kThousandthsPerPercent = 10;
constexpr number_range kWarmupOverageThousandthsRange{0, 1'000'000};
constexpr number_range kWarmupSlackThousandthsRange{0, 1'000'000'000};

// Reads a number with a fraction; nullopt if the field is missing or invalid.
std::optional<double> ReadFraction(object_reader& reader,
                                   std::string_view name,
                                   number_range range) {
  constexpr std::int64_t kMissing = -1;
  constexpr double kThousand = 1'000;
  std::int64_t thousandths = kMissing;
  reader.Thousandths(name, range, thousandths);
  if (thousandths == kMissing) {
    return std::nullopt;
  }
  return static_cast<double>(thousandths) / kThousand;
}

gateway_settings ReadAll(object_reader& reader) {
  gateway_settings settings;
  std::string id;
  std::string domain;
  reader.Name("id", id);
  reader.Name("domain", domain);
  settings.id = daemon_id(id);
  settings.domain = domain_name(domain);
  reader.Address("caller_listen", true, settings.caller_listen);
  reader.Address("ready_listen", true, settings.ready_listen);
  reader.Address("peer_listen", false, settings.peer_listen);
  reader.Address("metrics_listen", true, settings.metrics_listen);
  reader.Address("store", false, settings.store);
  std::int64_t cpu_millis = settings.cpu_millis;
  reader.Thousandths("cpu_share", kCpuMillisRange, cpu_millis);
  settings.cpu_millis = static_cast<std::uint32_t>(cpu_millis);
  reader.Number("memory_mb", kMemoryMegabytesRange, settings.memory_mb);
  std::int64_t grace_ms = settings.shutdown_grace.count();
  reader.Thousandths("grace_s", kGraceMillisRange, grace_ms);
  settings.shutdown_grace = milliseconds(grace_ms);
  std::int64_t grant_lifetime_ms = settings.max_grant_lifetime.count();
  reader.Thousandths("longest_hold_s", kGrantLifetimeMillisRange,
                     grant_lifetime_ms);
  settings.max_grant_lifetime = milliseconds(grant_lifetime_ms);
  std::int64_t retry_thousandths =
      settings.retry_percent * kThousandthsPerPercent;
  reader.Thousandths("retry_share", kRetryShareThousandthsRange,
                     retry_thousandths);
  settings.retry_percent =
      static_cast<std::uint32_t>(retry_thousandths / kThousandthsPerPercent);
  reader.Number("retry_reserve", kRetryReserveRange, settings.retry_reserve);
  settings.warmup_overage =
      ReadFraction(reader, "warmup_overage", kWarmupOverageThousandthsRange);
  settings.warmup_slack =
      ReadFraction(reader, "warmup_slack", kWarmupSlackThousandthsRange);
  reader.Number("cross_domain_price_ms_per_mb", kCrossDomainPriceRange,
                settings.cross_domain_price_ms_per_mb);
  reader.Flag("first_start", settings.first_start);
  reader.Choice("log_level", kLogLevels, settings.log_level);
  return settings;
}

}  // namespace

std::variant<gateway_settings, std::vector<settings_problem>>
gateway_settings::Parse(std::string_view text) {
  const auto document = internal::ParseSettingsDocument(text);
  if (const auto* problem = std::get_if<settings_problem>(&document)) {
    return std::vector{*problem};
  }
  problem_list problems;
  for (const std::string& path : internal::FindDuplicateNames(text)) {
    problems.Add(path, "given twice", "each name once");
  }
  object_reader reader(std::get<boost::json::value>(document).get_object(), "",
                       problems);
  gateway_settings settings = ReadAll(reader);
  reader.Finish();
  if (!problems.all().empty()) {
    return problems.all();
  }
  return settings;
}

}  // namespace bluebell
