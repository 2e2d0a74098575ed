// Access to the platform by its HTTP protocol, which the design page describes.
// A stored value is sent as the body and its version in the header
// `Platform-Version`; PUT and conflicts answer with {"version": N}.
//
//   result<std::shared_ptr<http_platform>> platform =
//       http_platform::Make(io, platform_address, milliseconds(200));

#ifndef BLUEBELL_STORE_HTTP_PLATFORM_H_
#define BLUEBELL_STORE_HTTP_PLATFORM_H_

#include <memory>
#include <string>
#include <string_view>

#include "bluebell/core/address.h"
#include "bluebell/core/result.h"
#include "bluebell/core/time.h"
#include "bluebell/store/platform_client.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace bluebell {

class http_client;

inline constexpr std::string_view kPlatformVersionHeader = "Platform-Version";

class http_platform {
 public:
  // `timeout` limits each call; the wait of a watch is added to it. Fails if
  // the address holds no IP address.
  static result<std::shared_ptr<http_platform>> Make(
      boost::asio::io_context& io,
      const address& platform_address,
      milliseconds timeout);

  ~http_platform();
  http_platform(const http_platform&) = delete;
  http_platform& operator=(const http_platform&) = delete;

  // The functions of platform_client.h call these and describe them.
  void Read(const std::string& key, read_handler done);
  void Watch(const std::string& key,
             store_version after,
             milliseconds wait,
             read_handler done);
  void Write(const std::string& key,
             const std::string& value,
             store_version expected,
             write_handler done);
  void ListHosts(hosts_handler done);

 private:
  http_platform(std::unique_ptr<http_client> client,
                std::string peer,
                milliseconds timeout);

  std::unique_ptr<http_client> client_;
  std::string peer_;
  milliseconds timeout_;
};

}  // namespace bluebell

#endif  // BLUEBELL_STORE_HTTP_PLATFORM_H_
