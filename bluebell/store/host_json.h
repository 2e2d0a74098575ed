// Reads and writes the platform's list of hosts as JSON.
//
//   result<std::vector<host_entry>> hosts = ParseHosts(response.body());

#ifndef BLUEBELL_STORE_HOST_JSON_H_
#define BLUEBELL_STORE_HOST_JSON_H_

#include <string>
#include <string_view>
#include <vector>

#include "bluebell/core/result.h"
#include "bluebell/store/host_entry.h"

namespace bluebell {

// Reads an array of objects with "name", "role" ("daemon" or "endpoint"),
// "state" ("live" or "leaving"), "domain", "address" and, for endpoints,
// "service". Fails with errc::kMalformedMessage if any entry is malformed.
result<std::vector<host_entry>> ParseHosts(std::string_view text);

std::string HostsToJson(const std::vector<host_entry>& hosts);

}  // namespace bluebell

#endif  // BLUEBELL_STORE_HOST_JSON_H_
