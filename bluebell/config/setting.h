// The settings that operators may change while the fleet runs: their names,
// ranges and units, and where exceptions may set them.
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

// Where the value of a setting stands in `policy_values`.
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

// The parts of a scope at which a setting can differ.
enum class scope_part : std::uint8_t {
  kService = 1,
  kDomain = 2,
  kEndpoint = 4,
  kCaller = 8,
};

struct setting {
  std::string_view name;
  // For example "percent" or "ms"; empty for flags.
  std::string_view unit;
  // Both ends are allowed. Flags are 0 or 1.
  std::int64_t least;
  std::int64_t greatest;
  // Sum of `scope_part`. Exceptions may name no other part, since nothing reads
  // the setting there.
  unsigned parts;
  setting_field field;
  std::string_view meaning;
};

std::span<const setting> AllSettings();
// Null if there is no setting of this name.
const setting* FindSetting(std::string_view name);

// The value as a number; a flag is 0 or 1.
std::int64_t NumberOf(const policy_values& values, const setting& which);
// The value as operators write it.
std::string TextOf(const policy_values& values, const setting& which);
// For example "a whole number from 0 to 100 (percent)".
std::string AllowedText(const setting& which);

// Fails with errc::kInvalidArgument if `text` isn't allowed.
result<policy_values> WithValue(const policy_values& values,
                                const setting& which,
                                std::string_view text);

}  // namespace bluebell

#endif  // BLUEBELL_CONFIG_SETTING_H_
