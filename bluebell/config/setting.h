// Defines the settings that operators can change while the fleet runs: their
// names, ranges, units, and the scopes in which exceptions can set them.
//
//   const setting* found = FindSetting("share_percent.urgent");
//   result<policy_values> changed = WithValue(values, *found, "70");

#ifndef BLUEBELL_CONFIG_SETTING_H_
#define BLUEBELL_CONFIG_SETTING_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>

#include "bluebell/config/config_scope.h"
#include "bluebell/config/policy_values.h"
#include "bluebell/core/rank.h"
#include "bluebell/core/result.h"

namespace bluebell {

// The member of `policy_values` that stores the value of a setting.
struct count_field {
  std::uint32_t policy_values::*member;
};
struct duration_field {
  milliseconds policy_values::*member;
};
struct flag_field {
  bool policy_values::*member;
};
struct ranked_count_field {
  std::array<std::uint32_t, kRanks.size()> policy_values::*member;
  std::size_t index;
};
struct ranked_duration_field {
  std::array<milliseconds, kRanks.size()> policy_values::*member;
  std::size_t index;
};
using setting_field = std::variant<count_field,
                                   duration_field,
                                   flag_field,
                                   ranked_count_field,
                                   ranked_duration_field>;

// The parts of a config_scope by which the value of a setting can differ.
// Values can be combined by addition.
enum class scope_part : std::uint8_t {
  kService = 1,
  kDomain = 2,
  kEndpoint = 4,
  kCaller = 8,
};

// The definition of one setting.
struct setting {
  std::string_view name;
  // For example "percent" or "ms"; empty for a boolean setting.
  std::string_view unit;
  // The inclusive range of the value. A boolean setting is 0 or 1.
  std::int64_t min_value;
  std::int64_t max_value;
  // The sum of the `scope_part` values that the scope of an exception may name.
  // The setting is not read by any other part.
  unsigned parts;
  setting_field field;
  // For operators.
  std::string_view description;
};

std::span<const setting> AllSettings();
// Returns null if there is no setting of this name.
const setting* FindSetting(std::string_view name);

// Returns the value as a number; 0 or 1 for a boolean setting.
std::int64_t NumberOf(const policy_values& values, const setting& definition);
// Returns the value as operators write it.
std::string TextOf(const policy_values& values, const setting& definition);
// Returns the allowed values as text, for example "a whole number from 0 to 100
// (percent)".
std::string AllowedText(const setting& definition);

// Returns `values` with the value of one setting replaced. Fails with
// errc::kInvalidArgument if `text` is not an allowed value.
result<policy_values> WithValue(const policy_values& values,
                                const setting& definition,
                                std::string_view text);

}  // namespace bluebell

#endif  // BLUEBELL_CONFIG_SETTING_H_
