#include "bluebell/daemon/caller_acceptor.h"

#include <boost/asio/error.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <utility>

#include "bluebell/core/time.h"
#include "bluebell/daemon/traffic_shard.h"
#include "bluebell/telemetry/log_event.h"

namespace bluebell {

namespace {

using boost::system::error_code;
using tcp = boost::asio::ip::tcp;

// Accepting fails for want of file descriptors until others are closed.
constexpr milliseconds kRetryDelay{50};

}  // namespace

caller_acceptor::caller_acceptor(std::vector<traffic_shard*> shards)
    : shards_(std::move(shards)),
      acceptor_(shards_.front()->io()),
      retry_(shards_.front()->io()) {}

result<std::shared_ptr<caller_acceptor>> caller_acceptor::Listen(
    std::vector<traffic_shard*> shards,
    const address& where) {
  std::shared_ptr<caller_acceptor> made(new caller_acceptor(std::move(shards)));
  const result<std::uint16_t> port = made->Open(where);
  if (!port) {
    return port.error();
  }
  made->port_ = port.value();
  boost::asio::post(made->acceptor_.get_executor(), [made] { made->Accept(); });
  return made;
}

result<std::uint16_t> caller_acceptor::Open(const address& where) {
  error_code failure;
  const auto ip = boost::asio::ip::make_address(where.ip(), failure);
  const tcp::endpoint local(ip, where.port());
  if (!failure) {
    acceptor_.open(local.protocol(), failure);
  }
  if (!failure) {
    acceptor_.set_option(tcp::acceptor::reuse_address(true), failure);
  }
  if (!failure) {
    acceptor_.bind(local, failure);
  }
  if (!failure) {
    acceptor_.listen(tcp::acceptor::max_listen_connections, failure);
  }
  if (failure) {
    return error(failure, step::kListen, where.ToString(), "callers' address");
  }
  return acceptor_.local_endpoint(failure).port();
}

void caller_acceptor::Accept() {
  traffic_shard* shard = shards_[next_];
  next_ = (next_ + 1) % shards_.size();
  acceptor_.async_accept(
      shard->io(), [self = shared_from_this(), shard](error_code failure,
                                                      tcp::socket socket) {
        if (failure == boost::asio::error::operation_aborted ||
            !self->acceptor_.is_open()) {
          return;
        }
        if (!failure) {
          shard->Take(std::move(socket));
          self->Accept();
          return;
        }
        log_event(log_level::kWarn, "accept failed")
            .With("detail", failure.message())
            .Write();
        self->retry_.expires_after(kRetryDelay);
        self->retry_.async_wait([self](error_code stopped) {
          if (!stopped) {
            self->Accept();
          }
        });
      });
}

void caller_acceptor::Close() {
  boost::asio::post(acceptor_.get_executor(), [self = shared_from_this()] {
    error_code ignored;
    self->acceptor_.close(ignored);
    self->retry_.cancel();
  });
}

}  // namespace bluebell
