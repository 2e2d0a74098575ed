// Exchanges with the daemon whose failures end in an exit status and a message
// that says what to do next.

#ifndef BLUEBELL_CTL_INTERNAL_EXCHANGE_H_
#define BLUEBELL_CTL_INTERNAL_EXCHANGE_H_

#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "bluebell/config/fleet_config.h"
#include "bluebell/core/error.h"
#include "bluebell/ctl/exit_status.h"
#include "bluebell/ctl/internal/admin_page.h"
#include "bluebell/ctl/run_command.h"

namespace bluebell::ctl::internal {

// Prints "bluebellctl: WHAT" and, on a line of its own, "next: NEXT".
void Complain(const surroundings& world,
              const std::string& what,
              const std::string& next);

// The body of a successful reply, or the exit status after a complaint.
std::variant<std::string, exit_status> Exchange(const surroundings& world,
                                                const admin_request& wanted);

inline std::variant<std::string, exit_status> Get(const surroundings& world,
                                                  std::string target) {
  return Exchange(world, {"GET", std::move(target), ""});
}

// Complains about a reply that can't be read.
exit_status Unreadable(const surroundings& world, const error& failure);

// The configuration in force at the daemon, or the exit status after a
// complaint.
std::variant<fleet_config, exit_status> GetConfig(const surroundings& world);

// What the daemon knows of the fleet, or the exit status after a complaint.
std::variant<status_page, exit_status> GetStatus(const surroundings& world);

}  // namespace bluebell::ctl::internal

#endif  // BLUEBELL_CTL_INTERNAL_EXCHANGE_H_
