// The persistent connections of one dispatcher to its endpoint.
//
//   if (auto connection = pool.Take(now)) {
//     ...
//     pool.GiveBack(connection, now);
//   }

#ifndef BLUEBELL_ENDPOINT_ENDPOINT_POOL_H_
#define BLUEBELL_ENDPOINT_ENDPOINT_POOL_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <memory>
#include <vector>

#include "bluebell/core/address.h"
#include "bluebell/core/service_spec.h"
#include "bluebell/core/time.h"

namespace bluebell {

class endpoint_connection;

// Endpoints close idle connections; an order written while the close is under
// way would end as `unknown`. So connections are given up sooner.
inline constexpr milliseconds kConnectionIdleLimit{2'000};

// How many connections a dispatcher may hold to one endpoint: twice its slots,
// so that abandoned connections can be replaced, and a few for cancellations;
// at most an eighth of what the endpoint accepts, since the other daemons
// connect to it too, to renew leases.
std::size_t ConnectionShare(const service_spec& spec);

class endpoint_pool {
 public:
  endpoint_pool(boost::asio::io_context& io,
                address where,
                std::size_t max_connections);

  // An open idle connection or a new one that isn't open yet. Empty if the
  // bound is reached. Each connection taken must be given back.
  std::shared_ptr<endpoint_connection> Take(instant now);

  // Like Take, but never an idle connection.
  std::shared_ptr<endpoint_connection> TakeNew();

  // Keeps the connection if it can be used again, else closes it.
  void GiveBack(const std::shared_ptr<endpoint_connection>& connection);

  // Closes the connections that have been idle for too long.
  void CloseIdle(instant now);

  std::size_t idle() const { return idle_.size(); }
  std::size_t taken() const { return taken_; }

 private:
  boost::asio::io_context* io_;
  address where_;
  std::size_t max_connections_;
  std::size_t taken_ = 0;
  // The most recently used last, so that surplus ones grow old.
  std::vector<std::shared_ptr<endpoint_connection>> idle_;
};

}  // namespace bluebell

#endif  // BLUEBELL_ENDPOINT_ENDPOINT_POOL_H_
