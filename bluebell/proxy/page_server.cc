#include "bluebell/proxy/page_server.h"

#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "bluebell/core/time.h"
#include "bluebell/http/delivery_guard.h"
#include "bluebell/http/socket_options.h"
#include "bluebell/net/task.h"
#include "bluebell/net/tcp_listener.h"

namespace bluebell {

namespace {

namespace asio = boost::asio;
namespace bhttp = boost::beast::http;
using asio::ip::tcp;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
// The time limit for reading one request, including the idle time before it.
constexpr seconds kReadTimeout{10};
constexpr seconds kWriteTimeout{10};
constexpr std::size_t kMaxBufferedBytes = 16U << 10U;

asio::awaitable<void> ServeConnection(
    tcp::socket socket,
    std::shared_ptr<const page_server::responder> respond) {
  SetSocketOptions(socket);
  boost::beast::tcp_stream stream(std::move(socket));
  const auto delivery =
      delivery_guard::Make(stream.socket(), {[&stream] { stream.close(); }});
  boost::beast::flat_buffer buffer(kMaxBufferedBytes);
  bool usable = true;
  while (usable) {
    stream.expires_after(kReadTimeout);
    http_request request;
    const auto [read_error, read] =
        co_await bhttp::async_read(stream, buffer, request, kAwait);
    if (read_error) {
      break;
    }
    http_response response = (*respond)(request);
    response.keep_alive(request.keep_alive());
    response.prepare_payload();
    stream.expires_after(kWriteTimeout);
    delivery->BeginWrite(response.body().size(), kWriteTimeout);
    const auto [write_error, sent] =
        co_await bhttp::async_write(stream, response, kAwait);
    delivery->EndWrite();
    usable = !write_error && response.keep_alive();
  }
}

}  // namespace

result<std::unique_ptr<page_server>> page_server::Open(
    asio::io_context& io,
    const address& listen_address,
    responder respond) {
  auto listener = tcp_listener::Open(io, listen_address);
  if (!listener) {
    return listener.error();
  }
  std::unique_ptr<page_server> server(
      new page_server(std::move(listener.value()), std::move(respond)));
  server->listener_->Start([pages = server->respond_](tcp::socket socket) {
    const auto executor = socket.get_executor();
    SpawnTask(executor, "page connection",
              ServeConnection(std::move(socket), pages));
  });
  return server;
}

page_server::page_server(std::shared_ptr<tcp_listener> listener,
                         responder respond)
    : listener_(std::move(listener)),
      respond_(std::make_shared<const responder>(std::move(respond))) {}

page_server::~page_server() {
  listener_->Close();
}

}  // namespace bluebell
