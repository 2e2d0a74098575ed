// The settings of one daemon, read from a JSON file with comments.
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
  // Callers' HTTP requests.
  address caller_listen;
  // Operators' HTTP requests and metrics.
  address admin_listen;
  // TCP links and UDP heartbeats of other daemons; one port for both.
  address peer_listen;
  // The platform's service: key-value store and host list.
  address platform;
  std::vector<peer_settings> peers;
  std::vector<service_spec> services;
  timing_settings timing;
  std::uint32_t traffic_threads = 2;
  std::uint32_t max_body_bytes = 1U << 20U;
  std::uint32_t max_header_bytes = 16U << 10U;
  // Empty: standard output.
  std::string log_file;
  // One of "trace", "debug", "info", "warn", "error".
  std::string log_level = "info";
  // "bluebell" or the name of a baseline policy used in measurements.
  std::string dispatch_policy = "bluebell";
  std::string placement_policy = "bluebell";

  // Checks the whole file and reports all mistakes at once. Unknown names are
  // mistakes.
  static std::variant<daemon_settings, std::vector<settings_problem>> Parse(
      std::string_view text);

  friend bool operator==(const daemon_settings&,
                         const daemon_settings&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_SETTINGS_DAEMON_SETTINGS_H_
