// A pool of the persistent connections of one dispatcher to its endpoint.
//
//   if (auto connection = pool.Acquire(now)) {
//     ...
//     pool.ReleaseConnection(connection);
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

// The pool closes connections that are idle for this time, before the endpoint
// does. A request written while the endpoint closes the connection would end as
// `unknown`.
inline constexpr milliseconds kConnectionIdleLimit{2'000};

// The maximum number of connections of a dispatcher to one endpoint: twice the
// slots of the endpoint, so that abandoned connections can be replaced, and a
// few for cancellations. At most an eighth of the connections that the endpoint
// accepts, because the other daemons connect to it too, to renew leases. At
// least two.
std::size_t MaxConnectionsFor(const service_spec& spec);

class endpoint_pool {
 public:
  endpoint_pool(boost::asio::io_context& io,
                address endpoint_address,
                std::size_t max_connections);

  // Returns an open idle connection or a new one that isn't open yet. Null if
  // the maximum is reached. Each connection must be returned with
  // ReleaseConnection().
  std::shared_ptr<endpoint_connection> Acquire(instant now);

  // Returns a new connection. If the maximum is reached, closes the connection
  // that has been idle longest, or returns null if none is idle.
  std::shared_ptr<endpoint_connection> AcquireNew();

  // Returns a connection to the pool, which keeps it if it is idle and closes
  // it otherwise.
  void ReleaseConnection(
      const std::shared_ptr<endpoint_connection>& connection);

  // Closes the connections that have been idle for kConnectionIdleLimit.
  void CloseIdle(instant now);

  std::size_t idle() const { return idle_.size(); }
  std::size_t in_use() const { return in_use_; }

 private:
  boost::asio::io_context* io_;
  address endpoint_address_;
  std::size_t max_connections_;
  std::size_t in_use_ = 0;
  // Ordered by the time of the last use, the most recent last. The most recent
  // one is used first, so that surplus connections reach the idle limit.
  std::vector<std::shared_ptr<endpoint_connection>> idle_;
};

}  // namespace bluebell

#endif  // BLUEBELL_ENDPOINT_ENDPOINT_POOL_H_
