// The settings of one gateway daemon, parsed from a JSON file with comments.
//
//   const auto loaded = gateway_settings::Parse(text);

#ifndef BLUEBELL_SETTINGS_GATEWAY_SETTINGS_H_
#define BLUEBELL_SETTINGS_GATEWAY_SETTINGS_H_

#include <cstdint>
#include <optional>
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
  // Receives HTTP requests of callers.
  address caller_listen;
  // Answers whether this daemon is ready, for the load balancer.
  address ready_listen;
  // Receives messages of other daemons over UDP.
  address peer_listen;
  // Serves metrics in the Prometheus text format.
  address metrics_listen;
  // The platform's key-value store.
  address store;
  // The processor time that this daemon may use, in thousandths of a core.
  std::uint32_t cpu_millis = 1'000;
  // The memory that this daemon may use, in megabytes.
  std::uint32_t memory_mb = 256;
  // The time from the signal to stop until the process is killed.
  milliseconds shutdown_grace{6'000};
  // The longest duration of a grant that endpoints accept.
  milliseconds max_grant_lifetime{10'000};
  // Limits the retries of all daemons together for one service: in ten seconds,
  // this percentage of the requests of the service, and `retry_reserve` more.
  std::uint32_t retry_percent = 20;
  std::uint32_t retry_reserve = 60;
  // Limits the requests that a cold endpoint gets in any second: the rate that
  // it can sustain times `warmup_overage`, and `warmup_slack` more. There is no
  // limit if neither is given. If one is given, the other counts as 1 or 0.
  std::optional<double> warmup_overage;
  std::optional<double> warmup_slack;
  // What a megabyte of a request that is sent to another failure domain is
  // worth, in milliseconds of its caller's waiting time. At the default,
  // 1 KB is worth 1 ms.
  std::uint32_t cross_domain_price_ms_per_mb = 1'000;
  // True if the whole system starts for the first time with this process.
  bool first_start = false;
  // One of "trace", "debug", "info", "warn", "error".
  std::string log_level = "info";

  // Parses and checks the text of a settings file. Returns all problems found
  // if there are any. Unknown names are problems.
  static std::variant<gateway_settings, std::vector<settings_problem>> Parse(
      std::string_view text);

  friend bool operator==(const gateway_settings&,
                         const gateway_settings&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_SETTINGS_GATEWAY_SETTINGS_H_
