// Accepts callers' connections and hands them to the traffic threads in turn.
// One acceptor that hands them round spreads few connections evenly, which the
// hash of SO_REUSEPORT doesn't.
//
//   auto acceptor = caller_acceptor::Listen(shards, where).value();
//   acceptor->Close();

#ifndef BLUEBELL_DAEMON_CALLER_ACCEPTOR_H_
#define BLUEBELL_DAEMON_CALLER_ACCEPTOR_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <memory>
#include <vector>

#include "bluebell/core/address.h"
#include "bluebell/core/result.h"

namespace bluebell {

class traffic_shard;

class caller_acceptor : public std::enable_shared_from_this<caller_acceptor> {
 public:
  // Runs on the thread of the first shard. `shards` outlive it.
  static result<std::shared_ptr<caller_acceptor>> Listen(
      std::vector<traffic_shard*> shards,
      const address& where);

  // The port, for addresses with port 0.
  std::uint16_t port() const { return port_; }

  // From any thread. Connections that wait to be accepted are refused.
  void Close();

 private:
  explicit caller_acceptor(std::vector<traffic_shard*> shards);
  result<std::uint16_t> Open(const address& where);
  void Accept();

  std::vector<traffic_shard*> shards_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer retry_;
  std::size_t next_ = 0;
  std::uint16_t port_ = 0;
};

}  // namespace bluebell

#endif  // BLUEBELL_DAEMON_CALLER_ACCEPTOR_H_
