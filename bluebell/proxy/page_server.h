// A small HTTP server for pages that are computed without waiting, such as
// readiness and metrics. The responder runs on the thread of `io` and must not
// block.
//
//   auto server = page_server::Open(
//       io, listen_address,
//       [](const http_request& request) { return MakePage(request); });

#ifndef BLUEBELL_PROXY_PAGE_SERVER_H_
#define BLUEBELL_PROXY_PAGE_SERVER_H_

#include <functional>
#include <memory>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "bluebell/core/address.h"
#include "bluebell/core/result.h"
#include "bluebell/http/http_message.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace bluebell {

class tcp_listener;

class page_server {
 public:
  using responder = std::function<http_response(const http_request& request)>;

  // Listens at the address until the object is destroyed. Fails if the address
  // can't be bound.
  static result<std::unique_ptr<page_server>> Open(
      boost::asio::io_context& io,
      const address& listen_address,
      responder respond);
  page_server(const page_server&) = delete;
  page_server& operator=(const page_server&) = delete;
  ~page_server();

 private:
  page_server(std::shared_ptr<tcp_listener> listener, responder respond);

  std::shared_ptr<tcp_listener> listener_;
  std::shared_ptr<const responder> respond_;
};

}  // namespace bluebell

#endif  // BLUEBELL_PROXY_PAGE_SERVER_H_
