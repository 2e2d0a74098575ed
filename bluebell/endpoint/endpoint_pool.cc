#include "bluebell/endpoint/endpoint_pool.h"

#include <algorithm>
#include <utility>

#include "bluebell/endpoint/endpoint_connection.h"

namespace bluebell {

namespace {

constexpr std::size_t kConnectionShareDivisor = 8;
constexpr std::size_t kSpareConnections = 4;
constexpr std::size_t kMinConnections = 2;

}  // namespace

std::size_t MaxConnectionsFor(const service_spec& spec) {
  const std::size_t wanted = std::size_t{2} * spec.slots + kSpareConnections;
  const std::size_t share = spec.connections / kConnectionShareDivisor;
  return std::max(kMinConnections, std::min(wanted, share));
}

endpoint_pool::endpoint_pool(boost::asio::io_context& io,
                             address endpoint_address,
                             std::size_t max_connections)
    : io_(&io),
      endpoint_address_(std::move(endpoint_address)),
      max_connections_(max_connections) {}

std::shared_ptr<endpoint_connection> endpoint_pool::Acquire(instant now) {
  CloseIdle(now);
  while (!idle_.empty()) {
    auto connection = std::move(idle_.back());
    idle_.pop_back();
    if (connection->IsReusable()) {
      ++in_use_;
      return connection;
    }
    connection->Close();
  }
  return AcquireNew();
}

std::shared_ptr<endpoint_connection> endpoint_pool::AcquireNew() {
  if (in_use_ + idle_.size() >= max_connections_) {
    if (idle_.empty()) {
      return nullptr;
    }
    idle_.front()->Close();
    idle_.erase(idle_.begin());
  }
  ++in_use_;
  return std::make_shared<endpoint_connection>(*io_, endpoint_address_);
}

void endpoint_pool::ReleaseConnection(
    const std::shared_ptr<endpoint_connection>& connection) {
  --in_use_;
  // Whether the endpoint has closed it is checked at its next use.
  if (connection->IsIdle()) {
    idle_.push_back(connection);
  } else {
    connection->Close();
  }
}

void endpoint_pool::CloseIdle(instant now) {
  const auto is_expired = [&](const auto& connection) {
    return now - connection->idle_since() >= kConnectionIdleLimit;
  };
  // Ordered by idle time, the longest first.
  const auto first_unexpired =
      std::find_if_not(idle_.begin(), idle_.end(), is_expired);
  std::for_each(idle_.begin(), first_unexpired,
                [](const auto& connection) { connection->Close(); });
  idle_.erase(idle_.begin(), first_unexpired);
}

}  // namespace bluebell
