#include "bluebell/http/server_connection.h"

#include <boost/asio/io_context.hpp>

#include "bluebell/http/delivery_guard.h"
#include "bluebell/http/read_limits.h"
#include "bluebell/http/socket_options.h"

namespace bluebell {

server_connection::server_connection(boost::asio::io_context& io)
    : stream(io),
      delivery(
          delivery_guard::Make(stream.socket(), {[this] { stream.close(); }})),
      buffer(kMaxUnparsedBytes) {}

server_connection::~server_connection() {
  stream.close();
}

bool server_connection::IsReusable() {
  return buffer.size() == 0 &&
         PeekInput(stream.socket()) == socket_input::kNone;
}

}  // namespace bluebell
