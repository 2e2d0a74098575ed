#include "bluebell/store/platform_client.h"

#include <utility>

#include "bluebell/store/http_platform.h"
#include "bluebell/store/memory_platform.h"

namespace bluebell {

void ReadValue(const platform_client& platform,
               const std::string& key,
               read_handler done) {
  std::visit([&](const auto& client) { client->Read(key, std::move(done)); },
             platform);
}

void WatchValue(const platform_client& platform,
                const std::string& key,
                store_version after,
                milliseconds wait,
                read_handler done) {
  std::visit(
      [&](const auto& client) {
        client->Watch(key, after, wait, std::move(done));
      },
      platform);
}

void WriteValue(const platform_client& platform,
                const std::string& key,
                const std::string& value,
                store_version expected,
                write_handler done) {
  std::visit(
      [&](const auto& client) {
        client->Write(key, value, expected, std::move(done));
      },
      platform);
}

void ReadHosts(const platform_client& platform, hosts_handler done) {
  std::visit([&](const auto& client) { client->ListHosts(std::move(done)); },
             platform);
}

}  // namespace bluebell
