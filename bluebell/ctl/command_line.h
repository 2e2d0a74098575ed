// Reads the command line of bluebellctl.
//
//   const auto parsed = ParseCommandLine(arguments, environment);

#ifndef BLUEBELL_CTL_COMMAND_LINE_H_
#define BLUEBELL_CTL_COMMAND_LINE_H_

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "bluebell/core/address.h"
#include "bluebell/ctl/command.h"

namespace bluebell::ctl {

// The environment variables that matter; empty if not set.
struct variables {
  // BLUEBELL_ADMIN: addresses, separated by commas.
  std::string admin;
  // BLUEBELL_OPERATOR, else USER.
  std::string operator_name;
};

struct invocation {
  command what;
  // Admin addresses of daemons, tried in this order. Empty only for
  // config_check_command.
  std::vector<address> admin;
  bool json = false;

  friend bool operator==(const invocation&, const invocation&) = default;
};

// The whole help was asked for.
struct help_wanted {
  std::string text;
};

// `text` says what is wrong and how it would be right.
struct usage_error {
  std::string text;
};

// `arguments` doesn't contain the program's name.
std::variant<invocation, help_wanted, usage_error> ParseCommandLine(
    const std::vector<std::string>& arguments,
    const variables& environment);

std::string_view HelpText();

}  // namespace bluebell::ctl

#endif  // BLUEBELL_CTL_COMMAND_LINE_H_
