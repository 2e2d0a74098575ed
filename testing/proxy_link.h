// One TCP connection through the proxy.
//
//   auto link = std::make_shared<proxy_link>(io, std::move(client), target,
//                                            fault);
//   link->Start(on_end);

#ifndef BLUEBELL_TESTING_PROXY_LINK_H_
#define BLUEBELL_TESTING_PROXY_LINK_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "bluebell/core/time.h"
#include "testing/proxy_fault.h"

namespace bluebell {

class proxy_link : public std::enable_shared_from_this<proxy_link> {
 public:
  // `fault` is shared with the route, which may change it at any time.
  proxy_link(boost::asio::io_context& io,
             boost::asio::ip::tcp::socket client,
             boost::asio::ip::tcp::endpoint target,
             std::shared_ptr<const proxy_fault> fault);

  void Start(std::function<void()> on_end);

  // From now on the connection stays open and carries nothing.
  void Silence() { silent_ = true; }

  // Resets both connections.
  void Reset();

 private:
  struct timed_bytes {
    instant due;
    std::string bytes;
  };
  // The bytes of one direction on their way.
  struct flow {
    flow(boost::asio::io_context& io, bool towards_target)
        : to_target(towards_target), timer(io) {}

    bool to_target;
    boost::asio::steady_timer timer;
    std::array<char, 65536> buffer = {};
    std::deque<timed_bytes> queue;
    std::size_t queued_bytes = 0;
    bool reading = false;
    bool writing = false;
    bool ended = false;
  };

  boost::asio::ip::tcp::socket& From(const flow& of);
  boost::asio::ip::tcp::socket& To(const flow& of);
  void Read(flow& of);
  void OnRead(flow& of, std::string bytes);
  void Enqueue(flow& of, std::string bytes, duration by);
  void Write(flow& of);
  void Close();

  boost::asio::ip::tcp::socket client_;
  boost::asio::ip::tcp::socket server_;
  boost::asio::ip::tcp::endpoint target_;
  std::shared_ptr<const proxy_fault> fault_;
  flow up_;
  flow down_;
  std::function<void()> on_end_;
  std::size_t answered_bytes_ = 0;
  bool silent_ = false;
};

}  // namespace bluebell

#endif  // BLUEBELL_TESTING_PROXY_LINK_H_
