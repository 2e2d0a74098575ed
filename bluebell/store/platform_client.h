// Access to the platform: its key-value store and its list of hosts.
//
// The alternatives of the variant differ only in how they reach the platform.
// Each function calls its handler once, on the io_context that the client was
// made with.
//
//   platform_client platform =
//       http_platform::Make(io, address, timeout).value();
//   ReadValue(platform, "config", [](result<store_value> value) { ... });

#ifndef BLUEBELL_STORE_PLATFORM_CLIENT_H_
#define BLUEBELL_STORE_PLATFORM_CLIENT_H_

#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "bluebell/core/ids.h"
#include "bluebell/core/result.h"
#include "bluebell/core/time.h"
#include "bluebell/store/host_entry.h"
#include "bluebell/store/store_value.h"
#include "bluebell/store/write_result.h"

namespace bluebell {

class http_platform;
class memory_platform;

using platform_client = std::variant<std::shared_ptr<http_platform>,
                                     std::shared_ptr<memory_platform>>;

using read_handler = std::function<void(result<store_value>)>;
using write_handler = std::function<void(write_result)>;
using hosts_handler = std::function<void(result<std::vector<host_entry>>)>;

// Reads the value under `key`. A missing key gives a value with version zero,
// not an error.
void ReadValue(const platform_client& platform,
               const std::string& key,
               read_handler done);

// Calls `done` with the value once its version is higher than `after`, or with
// the unchanged value after `wait`.
void WatchValue(const platform_client& platform,
                const std::string& key,
                store_version after,
                milliseconds wait,
                read_handler done);

// Writes `value` only if the version of the stored one is `expected`; zero:
// only if there is no value yet.
void WriteValue(const platform_client& platform,
                const std::string& key,
                const std::string& value,
                store_version expected,
                write_handler done);

// Reads the platform's list of hosts.
void ReadHosts(const platform_client& platform, hosts_handler done);

}  // namespace bluebell

#endif  // BLUEBELL_STORE_PLATFORM_CLIENT_H_
