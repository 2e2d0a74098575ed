#include "bluebell/config/setting.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

#include "bluebell/core/overloaded.h"

namespace bluebell {

namespace {

constexpr unsigned kService = static_cast<unsigned>(scope_part::kService);
constexpr unsigned kDomain = static_cast<unsigned>(scope_part::kDomain);
constexpr unsigned kEndpoint = static_cast<unsigned>(scope_part::kEndpoint);
constexpr unsigned kCaller = static_cast<unsigned>(scope_part::kCaller);
// Settings that a dispatcher reads for one endpoint.
constexpr unsigned kDispatcherParts = kService | kDomain | kEndpoint;
// Settings that an entry daemon reads before it has selected an endpoint.
constexpr unsigned kEntryParts = kService | kDomain | kCaller;

constexpr std::int64_t kDayMs = 86'400'000;
constexpr std::int64_t kMaxQueueLength = 100'000;
constexpr std::int64_t kMaxWarmUpMs = 600'000;
constexpr std::int64_t kMaxMovesPerMinute = 6'000;
// Each ledger entry keeps a response: 1,000,000 of 200 bytes are 200 MB.
constexpr std::int64_t kMinLedgerEntries = 100;
constexpr std::int64_t kMaxLedgerEntries = 1'000'000;

constexpr setting Share(std::string_view name, std::size_t rank_index) {
  return {name,
          "percent",
          0,
          100,
          kDispatcherParts,
          ranked_count_field{&policy_values::share_percent, rank_index},
          "guaranteed share of slot time; the three together at most 100"};
}

constexpr setting DefaultDeadline(std::string_view name,
                                  std::size_t rank_index) {
  return {name,
          "ms",
          1,
          kDayMs,
          kEntryParts,
          ranked_duration_field{&policy_values::default_deadline, rank_index},
          "deadline of requests that name none; at most max_deadline_ms"};
}

constexpr setting MaxDeadline(std::string_view name, std::size_t rank_index) {
  return {name,
          "ms",
          1,
          kDayMs,
          kEntryParts,
          ranked_duration_field{&policy_values::max_deadline, rank_index},
          "longest deadline that a request may name"};
}

constexpr setting QueueLimit(std::string_view name, std::size_t rank_index) {
  return {name,
          "requests",
          0,
          kMaxQueueLength,
          kDispatcherParts,
          ranked_count_field{&policy_values::queue_limit, rank_index},
          "requests that may wait for one endpoint"};
}

constexpr auto kSettings = std::to_array<setting>({
    Share("share_percent.urgent", 0),
    Share("share_percent.normal", 1),
    Share("share_percent.deferrable", 2),
    DefaultDeadline("default_deadline_ms.urgent", 0),
    DefaultDeadline("default_deadline_ms.normal", 1),
    DefaultDeadline("default_deadline_ms.deferrable", 2),
    MaxDeadline("max_deadline_ms.urgent", 0),
    MaxDeadline("max_deadline_ms.normal", 1),
    MaxDeadline("max_deadline_ms.deferrable", 2),
    QueueLimit("queue_limit.urgent", 0),
    QueueLimit("queue_limit.normal", 1),
    QueueLimit("queue_limit.deferrable", 2),
    {"retry_budget_percent", "percent", 0, 100, kDispatcherParts,
     count_field{&policy_values::retry_budget_percent},
     "retries as a percentage of first attempts"},
    {"warm_up_ms", "ms", 0, kMaxWarmUpMs, kDispatcherParts,
     duration_field{&policy_values::warm_up},
     "how long a new endpoint takes to reach its full number of slots"},
    {"moves_per_minute", "moves", 0, kMaxMovesPerMinute, kService,
     count_field{&policy_values::moves_per_minute},
     "planned moves of slices in a minute; 0 stops planned moves"},
    {"min_move_gain_percent", "percent", 0, 100, kService,
     count_field{&policy_values::min_move_gain_percent},
     "how much a planned move must lower the imbalance"},
    {"ledger_entries", "requests", kMinLedgerEntries, kMaxLedgerEntries,
     kDispatcherParts, count_field{&policy_values::ledger_entries},
     "requests whose outcome the dispatcher of an endpoint remembers"},
    {"drain", "", 0, 1, kDispatcherParts, flag_field{&policy_values::drain},
     "true: endpoints in scope get no new work; in exceptions only"},
});

std::optional<std::int64_t> ParseNumber(std::string_view text,
                                        const setting& definition) {
  if (std::holds_alternative<flag_field>(definition.field)) {
    if (text == "true") {
      return 1;
    }
    return text == "false" ? std::optional<std::int64_t>(0) : std::nullopt;
  }
  std::int64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end ||
      number < definition.min_value || number > definition.max_value) {
    return std::nullopt;
  }
  return number;
}

void Assign(policy_values& values,
            const setting_field& field,
            std::int64_t number) {
  const auto count = static_cast<std::uint32_t>(number);
  std::visit(overloaded{
                 [&](const count_field& f) { values.*f.member = count; },
                 [&](const duration_field& f) {
                   values.*f.member = milliseconds(number);
                 },
                 [&](const flag_field& f) { values.*f.member = number != 0; },
                 [&](const ranked_count_field& f) {
                   (values.*f.member).at(f.index) = count;
                 },
                 [&](const ranked_duration_field& f) {
                   (values.*f.member).at(f.index) = milliseconds(number);
                 },
             },
             field);
}

}  // namespace

std::span<const setting> AllSettings() {
  return kSettings;
}

const setting* FindSetting(std::string_view name) {
  const auto* const found =
      std::find_if(kSettings.begin(), kSettings.end(),
                   [name](const setting& s) { return s.name == name; });
  return found == kSettings.end() ? nullptr : found;
}

std::int64_t NumberOf(const policy_values& values, const setting& definition) {
  using number = std::int64_t;
  return std::visit(
      overloaded{
          [&](const count_field& f) { return number{values.*f.member}; },
          [&](const duration_field& f) {
            return number{(values.*f.member).count()};
          },
          [&](const flag_field& f) {
            return values.*f.member ? number{1} : number{0};
          },
          [&](const ranked_count_field& f) {
            return number{(values.*f.member).at(f.index)};
          },
          [&](const ranked_duration_field& f) {
            return number{(values.*f.member).at(f.index).count()};
          },
      },
      definition.field);
}

std::string TextOf(const policy_values& values, const setting& definition) {
  const std::int64_t number = NumberOf(values, definition);
  if (std::holds_alternative<flag_field>(definition.field)) {
    return number != 0 ? "true" : "false";
  }
  return std::to_string(number);
}

std::string AllowedText(const setting& definition) {
  if (std::holds_alternative<flag_field>(definition.field)) {
    return "true or false";
  }
  std::string text = "a whole number from " +
                     std::to_string(definition.min_value) + " to " +
                     std::to_string(definition.max_value);
  return text.append(" (").append(definition.unit).append(")");
}

result<policy_values> WithValue(const policy_values& values,
                                const setting& definition,
                                std::string_view text) {
  const std::optional<std::int64_t> number = ParseNumber(text, definition);
  if (!number) {
    return error(errc::kInvalidArgument, step::kChangeConfig,
                 std::string(definition.name),
                 "\"" + std::string(text) +
                     "\" is not allowed; allowed: " + AllowedText(definition));
  }
  policy_values changed = values;
  Assign(changed, definition.field, *number);
  return changed;
}

}  // namespace bluebell
