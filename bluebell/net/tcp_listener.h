// Accepts TCP connections on one address. If accepting fails, for example for
// lack of file descriptors, the failure is logged and accepting is retried
// after a delay.
//
//   auto listener = tcp_listener::Open(io, local_address).value();
//   listener->Start([](tcp::socket socket) { ... });

#ifndef BLUEBELL_NET_TCP_LISTENER_H_
#define BLUEBELL_NET_TCP_LISTENER_H_

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

class tcp_listener : public std::enable_shared_from_this<tcp_listener> {
 public:
  using handler = std::function<void(boost::asio::ip::tcp::socket socket)>;
  // Chooses the io_context that runs the next connection.
  using io_chooser = std::function<boost::asio::io_context&()>;

  // Opens a listening socket; a port of 0 selects a free port. `io` is run by
  // one thread, on which the handlers are called. Fails with step::kListen and
  // errc::kInvalidArgument for an invalid address, or errc::kUnavailable if the
  // address can't be used.
  static result<std::shared_ptr<tcp_listener>> Open(
      boost::asio::io_context& io,
      const address& local_address);
  tcp_listener(const tcp_listener&) = delete;
  tcp_listener& operator=(const tcp_listener&) = delete;
  ~tcp_listener() = default;

  // Starts accepting. May be called from any thread, once. Without a chooser,
  // the connections run on the io_context of the listener.
  void Start(handler on_connection, io_chooser choose_io = nullptr);
  // Stops accepting. May be called from any thread, and takes effect at once on
  // the listener's own. The handlers aren't called afterwards. Connections that
  // wait to be accepted are refused.
  void Close();

  // The address of the socket, with the port that was selected if the requested
  // one was 0.
  const address& listen_address() const { return listen_address_; }

 private:
  tcp_listener(boost::asio::io_context& io,
               boost::asio::ip::tcp::acceptor acceptor,
               address listen_address);

  void Accept();
  void RetryLater(const boost::system::error_code& failure);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer retry_timer_;
  address listen_address_;
  handler on_connection_;
  io_chooser choose_io_;
};

}  // namespace bluebell

#endif  // BLUEBELL_NET_TCP_LISTENER_H_
