#include "bluebell/dispatcher/order_attempt.h"

#include <algorithm>
#include <utility>

#include "bluebell/core/overloaded.h"
#include "bluebell/endpoint/endpoint_pool.h"
#include "bluebell/http/endpoint_protocol.h"
#include "bluebell/runtime/clock.h"

namespace bluebell {

namespace {

using boost::system::error_code;

}  // namespace

order_attempt::order_attempt(boost::asio::io_context& io,
                             std::shared_ptr<endpoint_pool> pool,
                             attempt_plan plan,
                             on_event notify)
    : pool_(std::move(pool)),
      plan_(std::move(plan)),
      notify_(std::move(notify)),
      timer_(io) {}

void order_attempt::Begin() {
  const instant now = Now();
  next_timeout_ = now + plan_.silence_timeout;
  connection_ = pool_->Acquire(now);
  if (!connection_) {
    Finish(not_written{"all connections to the endpoint are in use"});
    return;
  }
  ArmTimer();
  connection_->WhenConnected([self = shared_from_this()](error_code failure) {
    if (!self->connection_) {
      return;
    }
    if (failure) {
      self->Finish(not_written{"connect: " + failure.message()});
    } else {
      self->Write();
    }
  });
}

void order_attempt::Write() {
  const instant now = Now();
  const order_permission permission = plan_.check_permission(now);
  std::visit(overloaded{[&](const not_run& refusal) {
                          Finish(not_permitted{refusal});
                        },
                        [&](const order_target& target) {
                          written_ = true;
                          written_at_ = now;
                          next_timeout_ = now + plan_.silence_timeout;
                          target_instance_ = target.endpoint.instance;
                          connection_->Exchange(
                              OrderMessage(*plan_.request, target,
                                           plan_.dispatcher_epoch, now),
                              [self = shared_from_this()](exchange_end& end) {
                                if (self->connection_) {
                                  self->OnExchangeEnd(end);
                                }
                              });
                        }},
             permission);
}

void order_attempt::OnExchangeEnd(exchange_end& end) {
  std::visit(overloaded{[&](http_response& response) {
                          Finish(reply_read{ReadOrderReply(std::move(response),
                                                           target_instance_),
                                            Now() - written_at_});
                        },
                        [&](const exchange_failure& failure) {
                          if (failure.first_byte_written) {
                            Finish(reply_missing{failure.why});
                          } else {
                            Finish(not_written{failure.why.detail});
                          }
                        }},
             end);
}

void order_attempt::ArmTimer() {
  timer_.expires_at(std::min(next_timeout_, plan_.request->deadline));
  timer_.async_wait([self = shared_from_this()](error_code failure) {
    if (!failure && self->connection_) {
      self->OnTimer();
    }
  });
}

void order_attempt::OnTimer() {
  const instant now = Now();
  if (now >= plan_.request->deadline) {
    Finish(deadline_passed{});
    return;
  }
  if (now < next_timeout_) {
    ArmTimer();
    return;
  }
  if (!written_) {
    Finish(not_written{"connect: no answer in time"});
    return;
  }
  next_timeout_ = now + plan_.silence_timeout;
  ArmTimer();
  notify_(reply_overdue{});
}

void order_attempt::Finish(attempt_end end) {
  Release();
  const on_event notify = std::exchange(notify_, nullptr);
  if (notify) {
    notify(std::move(end));
  }
}

void order_attempt::Release() {
  timer_.cancel();
  if (const auto connection = std::exchange(connection_, nullptr)) {
    // After a deadline or a call of Abandon() the exchange is still running.
    // The connection can't be reused then, and ReleaseConnection() closes it.
    pool_->ReleaseConnection(connection);
  }
}

void order_attempt::Abandon() {
  notify_ = nullptr;
  Release();
}

}  // namespace bluebell
