// The callers' connections of one traffic thread.
//
//   caller_server server(context, limits, router);
//   server.Take(std::move(socket));

#ifndef BLUEBELL_ENTRY_CALLER_SERVER_H_
#define BLUEBELL_ENTRY_CALLER_SERVER_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <memory>
#include <unordered_map>

#include "bluebell/entry/caller_session.h"
#include "bluebell/runtime/traffic_context.h"

namespace bluebell {

class entry_router;

class caller_server {
 public:
  caller_server(const traffic_context& context,
                const caller_limits& limits,
                entry_router& router);
  caller_server(const caller_server&) = delete;
  caller_server& operator=(const caller_server&) = delete;
  ~caller_server() = default;

  // Serves a connection that was accepted for this thread.
  void Take(boost::asio::ip::tcp::socket socket);

  // Each connection ends after the response to its request in flight.
  void Drain();

  std::size_t sessions() const { return sessions_.size(); }

  // Beyond this, new connections are closed at once: each may hold a body and
  // a header in memory.
  static constexpr std::size_t kMaxSessions = 4'096;

 private:
  void ScheduleSweep();
  void Sweep();

  traffic_context context_;
  caller_limits limits_;
  entry_router* router_;
  boost::asio::steady_timer sweep_;
  bool sweeping_ = false;
  bool draining_ = false;
  std::unordered_map<caller_session*, std::shared_ptr<caller_session>>
      sessions_;
};

}  // namespace bluebell

#endif  // BLUEBELL_ENTRY_CALLER_SERVER_H_
