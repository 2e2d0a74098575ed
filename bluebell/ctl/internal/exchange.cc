#include "bluebell/ctl/internal/exchange.h"

#include <utility>

namespace bluebell::ctl::internal {

namespace {

constexpr unsigned kHttpOk = 200;
constexpr unsigned kHttpConflict = 409;
constexpr unsigned kHttpUnavailable = 503;
constexpr unsigned kHttpTimeout = 504;

exit_status NoReply(const surroundings& world,
                    const admin_request& wanted,
                    const error& failure) {
  if (failure.code() == errc::kUnavailable) {
    Complain(world, failure.ToString(),
             "check that bluebelld runs there and that --admin or "
             "BLUEBELL_ADMIN names its admin_listen address");
  } else if (wanted.method == "GET") {
    Complain(world, failure.ToString(),
             "try again, or ask another daemon with --admin");
  } else {
    Complain(world, failure.ToString(),
             "the change may have taken effect; look at `bluebellctl config "
             "history` before you repeat it");
  }
  return exit_status::kUnreachable;
}

exit_status Refusal(const surroundings& world, const admin_reply& reply) {
  const std::string what = "refused by the daemon at " + reply.from + " (" +
                           std::to_string(reply.status) +
                           "): " + ReadRefusal(reply.body);
  switch (reply.status) {
    case kHttpConflict:
      Complain(world, what,
               "look at the other change with `bluebellctl config get` and "
               "repeat yours if it still makes sense");
      return exit_status::kConflict;
    case kHttpUnavailable:
    case kHttpTimeout:
      Complain(world, what,
               "the change may have taken effect; look at `bluebellctl status` "
               "for the store and at `bluebellctl config history`");
      return exit_status::kUnreachable;
    default:
      Complain(world, what, "correct what it names; `bluebellctl --help`");
      return exit_status::kRefused;
  }
}

}  // namespace

void Complain(const surroundings& world,
              const std::string& what,
              const std::string& next) {
  world.err << "bluebellctl: " << what << '\n';
  if (!next.empty()) {
    world.err << "next: " << next << '\n';
  }
}

std::variant<std::string, exit_status> Exchange(const surroundings& world,
                                                const admin_request& wanted) {
  result<admin_reply> reply = world.channel(wanted);
  if (!reply) {
    return NoReply(world, wanted, reply.error());
  }
  if (reply.value().status != kHttpOk) {
    return Refusal(world, reply.value());
  }
  return std::move(reply.value().body);
}

exit_status Unreadable(const surroundings& world, const error& failure) {
  Complain(world, failure.ToString(),
           "use the bluebellctl of the same release as the daemons, or --json");
  return exit_status::kRefused;
}

std::variant<fleet_config, exit_status> GetConfig(const surroundings& world) {
  auto body = Get(world, "/config");
  if (const auto* failed = std::get_if<exit_status>(&body)) {
    return *failed;
  }
  auto config = fleet_config::Parse(std::get<std::string>(body));
  if (!config) {
    return Unreadable(world, config.error());
  }
  return std::move(config.value());
}

std::variant<status_page, exit_status> GetStatus(const surroundings& world) {
  auto body = Get(world, "/status");
  if (const auto* failed = std::get_if<exit_status>(&body)) {
    return *failed;
  }
  auto status = ReadStatus(std::get<std::string>(body));
  if (!status) {
    return Unreadable(world, status.error());
  }
  return std::move(status.value());
}

}  // namespace bluebell::ctl::internal
