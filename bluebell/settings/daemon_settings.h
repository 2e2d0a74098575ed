// The settings of one bluebelld daemon, parsed from a JSON file with comments.
//
//   const auto loaded = daemon_settings::Parse(text);
//   if (const auto* settings = std::get_if<daemon_settings>(&loaded)) {
//     Start(*settings);
//   }

#ifndef BLUEBELL_SETTINGS_DAEMON_SETTINGS_H_
#define BLUEBELL_SETTINGS_DAEMON_SETTINGS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "bluebell/core/address.h"
#include "bluebell/core/ids.h"
#include "bluebell/core/service_spec.h"
#include "bluebell/core/time.h"
#include "bluebell/settings/peer_settings.h"
#include "bluebell/settings/settings_problem.h"
#include "bluebell/settings/timing_settings.h"

namespace bluebell {

struct daemon_settings {
  daemon_id id;
  domain_name domain;
  std::string region;
  // Receives HTTP requests of callers.
  address caller_listen;
  // Receives HTTP requests of operators and serves metrics.
  address admin_listen;
  // Receives TCP links and UDP heartbeats of other daemons, both on one port.
  address peer_listen;
  // The service of the platform that has the key-value store and the host list.
  address platform;
  std::vector<peer_settings> peers;
  std::vector<service_spec> services;
  timing_settings timing;
  std::uint32_t traffic_threads = 2;
  std::uint32_t max_body_bytes = 1U << 20U;
  std::uint32_t max_header_bytes = 16U << 10U;
  // Empty for standard output.
  std::string log_file;
  // One of "trace", "debug", "info", "warn", "error".
  std::string log_level = "info";
  // "bluebell", or the name of a baseline policy that is used in measurements.
  std::string dispatch_policy = "bluebell";
  std::string placement_policy = "bluebell";

  // Parses and checks the text of a settings file. Returns all problems found
  // if there are any. Unknown names are problems.
  static std::variant<daemon_settings, std::vector<settings_problem>> Parse(
      std::string_view text);

  friend bool operator==(const daemon_settings&,
                         const daemon_settings&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_SETTINGS_DAEMON_SETTINGS_H_
