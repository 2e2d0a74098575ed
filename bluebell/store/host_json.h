// The platform's host list as JSON.

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
// "service". One broken entry makes the whole list an error.
result<std::vector<host_entry>> ParseHosts(std::string_view text);

std::string HostsToJson(const std::vector<host_entry>& hosts);

}  // namespace bluebell

#endif  // BLUEBELL_STORE_HOST_JSON_H_
