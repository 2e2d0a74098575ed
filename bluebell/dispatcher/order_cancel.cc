#include "bluebell/dispatcher/order_cancel.h"

#include <boost/asio/steady_timer.hpp>
#include <string_view>
#include <utility>

#include "bluebell/core/time.h"
#include "bluebell/endpoint/endpoint_connection.h"
#include "bluebell/endpoint/endpoint_pool.h"
#include "bluebell/http/endpoint_protocol.h"
#include "bluebell/runtime/clock.h"

namespace bluebell {

namespace {

// After this time the cancellation is given up.
constexpr milliseconds kCancelTimeout{500};

class cancellation : public std::enable_shared_from_this<cancellation> {
 public:
  cancellation(boost::asio::io_context& io,
               std::shared_ptr<endpoint_pool> pool,
               endpoint_instance instance,
               std::function<void(bool)> done)
      : pool_(std::move(pool)),
        instance_(std::move(instance)),
        timer_(io),
        done_(std::move(done)) {}

  void Start(http_request message) {
    connection_ = pool_->Acquire(Now());
    if (!connection_) {
      End(false);
      return;
    }
    timer_.expires_after(kCancelTimeout);
    timer_.async_wait(
        [self = shared_from_this()](boost::system::error_code failure) {
          if (!failure) {
            self->End(false);
          }
        });
    connection_->WhenConnected(
        [self = shared_from_this(),
         message = std::move(message)](boost::system::error_code failure) {
          self->OnConnected(failure, message);
        });
  }

 private:
  void OnConnected(boost::system::error_code failure,
                   const http_request& message) {
    if (failure || !connection_) {
      End(false);
      return;
    }
    connection_->Exchange(message,
                          [self = shared_from_this()](const exchange_end& end) {
                            self->End(self->ConfirmsNotRun(end));
                          });
  }

  bool ConfirmsNotRun(const exchange_end& end) const {
    const auto* response = std::get_if<http_response>(&end);
    return response != nullptr && ConfirmsCancellation(*response, instance_);
  }

  void End(bool proven_not_run) {
    timer_.cancel();
    if (const auto connection = std::exchange(connection_, nullptr)) {
      pool_->ReleaseConnection(connection);
    }
    if (const auto done = std::exchange(done_, nullptr)) {
      done(proven_not_run);
    }
  }

  std::shared_ptr<endpoint_pool> pool_;
  endpoint_instance instance_;
  boost::asio::steady_timer timer_;
  std::shared_ptr<endpoint_connection> connection_;
  std::function<void(bool)> done_;
};

}  // namespace

void CancelOrder(boost::asio::io_context& io,
                 const std::shared_ptr<endpoint_pool>& pool,
                 const request_id& id,
                 const endpoint_instance& instance,
                 const address& where,
                 std::function<void(bool proven_not_run)> done) {
  std::make_shared<cancellation>(io, pool, instance, std::move(done))
      ->Start(CancelMessage(id, instance, where));
}

}  // namespace bluebell
