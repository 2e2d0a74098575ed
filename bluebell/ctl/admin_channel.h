// One HTTP exchange with the admin address of a daemon.

#ifndef BLUEBELL_CTL_ADMIN_CHANNEL_H_
#define BLUEBELL_CTL_ADMIN_CHANNEL_H_

#include <functional>
#include <string>
#include <vector>

#include "bluebell/core/address.h"
#include "bluebell/core/result.h"
#include "bluebell/core/time.h"

namespace bluebell::ctl {

struct admin_request {
  // "GET" or "POST".
  std::string method;
  // Path and query.
  std::string target;
  std::string body;

  friend bool operator==(const admin_request&, const admin_request&) = default;
};

struct admin_reply {
  unsigned status = 0;
  std::string body;
  // The daemon that answered.
  std::string from;

  friend bool operator==(const admin_reply&, const admin_reply&) = default;
};

// Fails with errc::kUnavailable if the request did not reach a daemon, and with
// errc::kConnectionLost or errc::kTimeout if it may have.
using admin_channel = std::function<result<admin_reply>(const admin_request&)>;

// Tries the addresses in turn until one can be connected to. A request that was
// sent is not sent again, since a change may have taken effect.
admin_channel MakeHttpChannel(std::vector<address> daemons,
                              milliseconds timeout);

// Escapes all that has a meaning in a URL query.
std::string EscapeQuery(const std::string& text);

}  // namespace bluebell::ctl

#endif  // BLUEBELL_CTL_ADMIN_CHANNEL_H_
