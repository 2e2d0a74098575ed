// The settings of one gateway daemon, read from a JSON file with comments.
//
//   const auto loaded = gateway_settings::Parse(text);

#ifndef BLUEBELL_SETTINGS_GATEWAY_SETTINGS_H_
#define BLUEBELL_SETTINGS_GATEWAY_SETTINGS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "bluebell/core/address.h"
#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"
#include "bluebell/settings/settings_problem.h"

namespace bluebell {

struct gateway_settings {
  daemon_id id;
  domain_name domain;
  // Callers' requests.
  address caller_listen;
  // The balancer's question whether this daemon takes callers.
  address ready_listen;
  // Messages of other daemons (UDP).
  address peer_listen;
  // Counters and latency histograms as text.
  address metrics_listen;
  // The platform's key-value store.
  address store;
  // The share of a processor core that this daemon may use, in thousandths.
  std::uint32_t cpu_millis = 1'000;
  // From the order to stop until the process is killed.
  milliseconds grace{6'000};
  // The longest term of a grant that endpoints accept.
  milliseconds longest_hold{10'000};
  // Second attempts of all daemons together, as a percentage of the requests of
  // a service in ten seconds, and how many more.
  std::uint32_t retry_percent = 20;
  std::uint32_t retry_reserve = 60;
  // One of "trace", "debug", "info", "warn", "error".
  std::string log_level = "info";

  // Checks the whole file and reports all mistakes at once. Unknown names are
  // mistakes.
  static std::variant<gateway_settings, std::vector<settings_problem>> Parse(
      std::string_view text);

  friend bool operator==(const gateway_settings&,
                         const gateway_settings&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_SETTINGS_GATEWAY_SETTINGS_H_
