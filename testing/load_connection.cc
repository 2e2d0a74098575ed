#include "testing/load_connection.h"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

#include "bluebell/http/socket_options.h"

namespace bluebell {

namespace {

namespace asio = boost::asio;
namespace bhttp = boost::beast::http;
using boost::system::error_code;

}  // namespace

load_connection::load_connection(asio::io_context& io, const address& target)
    : target_(asio::ip::make_address(target.ip()), target.port()),
      stream_(io) {}

void load_connection::Send(http_request request, duration limit, handler done) {
  request_ = std::move(request);
  done_ = std::move(done);
  stream_.expires_after(limit);
  if (connected_) {
    Write();
    return;
  }
  stream_.async_connect(target_, [self =
                                      shared_from_this()](error_code failure) {
    if (failure) {
      self->Finish(failure);
      return;
    }
    self->connected_ = true;
    error_code ignored;
    self->stream_.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    self->Write();
  });
}

void load_connection::Write() {
  bhttp::async_write(stream_, request_,
                     [self = shared_from_this()](error_code failure, size_t) {
                       if (failure) {
                         self->Finish(failure);
                       } else {
                         self->Read();
                       }
                     });
}

void load_connection::Read() {
  parser_.emplace();
  bhttp::async_read(stream_, buffer_, *parser_,
                    [self = shared_from_this()](error_code failure, size_t) {
                      self->Finish(failure);
                    });
}

void load_connection::Finish(error_code failure) {
  load_exchange ended{failure, {}};
  if (failure) {
    stream_.close();
    connected_ = false;
  } else {
    ended.response = parser_->release();
    connected_ = ended.response.keep_alive();
  }
  std::exchange(done_, nullptr)(std::move(ended));
}

bool load_connection::IsOpen() {
  return connected_ && PeekInput(stream_.socket()) == socket_input::kNone;
}

}  // namespace bluebell
