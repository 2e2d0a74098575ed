// Accepts TCP connections on one address.
//
//   auto listener = tcp_listener::Open(io, where).value();
//   listener->Start([](tcp::socket socket) { ... });

#ifndef BLUEBELL_PROXY_TCP_LISTENER_H_
#define BLUEBELL_PROXY_TCP_LISTENER_H_

#include <functional>
#include <memory>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "bluebell/core/address.h"
#include "bluebell/core/result.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace bluebell {

class tcp_listener {
 public:
  using handler = std::function<void(boost::asio::ip::tcp::socket socket)>;

  static result<std::unique_ptr<tcp_listener>> Open(boost::asio::io_context& io,
                                                    const address& where);
  tcp_listener(const tcp_listener&) = delete;
  tcp_listener& operator=(const tcp_listener&) = delete;
  ~tcp_listener() = default;

  void Start(handler on_connection);
  void Close();

 private:
  explicit tcp_listener(boost::asio::ip::tcp::acceptor acceptor);

  void Accept();

  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer pause_;
  handler on_connection_;
};

}  // namespace bluebell

#endif  // BLUEBELL_PROXY_TCP_LISTENER_H_
