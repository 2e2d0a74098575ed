#include "testing/proxy_link.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/socket_base.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <utility>

#include "bluebell/core/overloaded.h"

namespace bluebell {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

// Reading pauses at this many bytes on their way in one direction.
constexpr std::size_t kMaxQueued = 4U << 20U;

void ResetSocket(tcp::socket& socket) {
  error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace

proxy_link::proxy_link(asio::io_context& io,
                       tcp::socket client,
                       tcp::endpoint target,
                       std::shared_ptr<const proxy_fault> fault)
    : client_(std::move(client)),
      server_(io),
      target_(std::move(target)),
      fault_(std::move(fault)),
      up_(io, true),
      down_(io, false) {}

void proxy_link::Start(std::function<void()> on_end) {
  on_end_ = std::move(on_end);
  server_.async_connect(target_, [self = shared_from_this()](error_code error) {
    if (error) {
      self->Reset();
      return;
    }
    error_code ignored;
    self->client_.set_option(tcp::no_delay(true), ignored);
    self->server_.set_option(tcp::no_delay(true), ignored);
    self->Read(self->up_);
    self->Read(self->down_);
  });
}

tcp::socket& proxy_link::From(const flow& of) {
  return of.to_target ? client_ : server_;
}

tcp::socket& proxy_link::To(const flow& of) {
  return of.to_target ? server_ : client_;
}

void proxy_link::Read(flow& of) {
  if (of.reading || of.ended || of.queued_bytes > kMaxQueued) {
    return;
  }
  of.reading = true;
  From(of).async_read_some(
      asio::buffer(of.buffer),
      [self = shared_from_this(), &of](error_code error, std::size_t size) {
        of.reading = false;
        if (error) {
          // What is on its way still arrives. A silent connection doesn't end,
          // since its other end must not notice.
          of.ended = true;
          if (!self->silent_) {
            self->Write(of);
          }
          return;
        }
        self->OnRead(of, std::string(of.buffer.data(), size));
        self->Read(of);
      });
}

void proxy_link::OnRead(flow& of, std::string bytes) {
  if (silent_) {
    return;
  }
  const auto pass = [&](duration by) { Enqueue(of, std::move(bytes), by); };
  std::visit(
      overloaded{[&](const pass_all&) { pass(duration(0)); },
                 [&](const delay_bytes& delay) { pass(delay.by); },
                 [&](const lose_bytes& loss) {
                   if (!(of.to_target ? loss.to_target : loss.from_target)) {
                     pass(duration(0));
                   }
                 },
                 [&](const refuse_all&) { Reset(); },
                 [&](const truncate_answers& truncation) {
                   if (!of.to_target) {
                     const std::size_t left =
                         truncation.after_bytes - answered_bytes_;
                     if (bytes.size() >= left) {
                       bytes.resize(left);
                       of.ended = true;
                     }
                     answered_bytes_ += bytes.size();
                   }
                   pass(duration(0));
                 },
                 [&](const lose_answers&) {
                   if (of.to_target) {
                     pass(duration(0));
                   } else {
                     Reset();
                   }
                 }},
      *fault_);
}

void proxy_link::Enqueue(flow& of, std::string bytes, duration by) {
  of.queued_bytes += bytes.size();
  of.queue.push_back({std::chrono::steady_clock::now() + by, std::move(bytes)});
  Write(of);
}

void proxy_link::Write(flow& of) {
  if (of.writing) {
    return;
  }
  if (of.queue.empty()) {
    if (of.ended) {
      Close();
    }
    return;
  }
  of.writing = true;
  const auto write = [self = shared_from_this(), &of](error_code) {
    asio::async_write(self->To(of), asio::buffer(of.queue.front().bytes),
                      [self, &of](error_code error, std::size_t size) {
                        of.writing = false;
                        of.queue.pop_front();
                        of.queued_bytes -= size;
                        if (error) {
                          self->Reset();
                          return;
                        }
                        self->Write(of);
                        self->Read(of);
                      });
  };
  if (of.queue.front().due <= std::chrono::steady_clock::now()) {
    write(error_code());
    return;
  }
  of.timer.expires_at(of.queue.front().due);
  of.timer.async_wait(write);
}

void proxy_link::Close() {
  error_code ignored;
  client_.close(ignored);
  server_.close(ignored);
  if (on_end_) {
    std::exchange(on_end_, nullptr)();
  }
}

void proxy_link::Reset() {
  ResetSocket(client_);
  ResetSocket(server_);
  Close();
}

}  // namespace bluebell
