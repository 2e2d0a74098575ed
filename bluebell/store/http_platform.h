// The platform over HTTP, by the platform protocol on the design page. A
// stored value travels as the body, its version in the header
// `Platform-Version`; PUT and conflicts answer with {"version": N}.
//
//   result<platform_client> platform =
//       http_platform::Make(io, where, milliseconds(200));

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
  // `timeout` bounds each call; a watch's wait is added to it.
  static result<std::shared_ptr<http_platform>>
  Make(boost::asio::io_context& io, const address& where, milliseconds timeout);

  ~http_platform();
  http_platform(const http_platform&) = delete;
  http_platform& operator=(const http_platform&) = delete;

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
