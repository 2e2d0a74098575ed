#include "testing/fault_proxy.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/socket_base.hpp>
#include <boost/asio/steady_timer.hpp>
#include <set>
#include <utility>

#include "bluebell/core/overloaded.h"
#include "testing/proxy_link.h"

namespace bluebell {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;
using boost::system::error_code;

template <typename Protocol>
typename Protocol::endpoint EndpointOf(const address& where) {
  return {asio::ip::make_address(where.ip()), where.port()};
}

}  // namespace

struct proxy_port::state {
  state(asio::io_context& context, proxy_route given)
      : io(context),
        route(std::move(given)),
        acceptor(context),
        datagrams(context) {}

  asio::io_context& io;
  proxy_route route;
  std::shared_ptr<proxy_fault> fault = std::make_shared<proxy_fault>();
  tcp::acceptor acceptor;
  udp::socket datagrams;
  std::array<char, 65536> datagram = {};
  udp::endpoint sender;
  std::set<std::shared_ptr<proxy_link>> links;
};

namespace {

using shared_state = std::shared_ptr<proxy_port::state>;

void Accept(const shared_state& port) {
  port->acceptor.async_accept([port](error_code error, tcp::socket socket) {
    if (error) {
      return;
    }
    const auto link = std::make_shared<proxy_link>(
        port->io, std::move(socket), EndpointOf<tcp>(port->route.target),
        port->fault);
    port->links.insert(link);
    link->Start(
        [port, weak = std::weak_ptr(link)] { port->links.erase(weak.lock()); });
    Accept(port);
  });
}

error_code Listen(const shared_state& port) {
  const auto where = EndpointOf<tcp>(port->route.listen);
  error_code error;
  port->acceptor.open(where.protocol(), error);
  port->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  port->acceptor.bind(where, error);
  if (!error) {
    port->acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (!error) {
    Accept(port);
  }
  return error;
}

void SendDatagram(const shared_state& port, const std::string& bytes) {
  error_code ignored;
  port->datagrams.send_to(asio::buffer(bytes),
                          EndpointOf<udp>(port->route.target), 0, ignored);
}

// Datagrams go in one direction only; an answer takes the route back to the
// sender's own address.
void PassDatagram(const shared_state& port, const std::string& bytes) {
  std::visit(
      overloaded{[&](const pass_all&) { SendDatagram(port, bytes); },
                 [&](const delay_bytes& delay) {
                   const auto timer =
                       std::make_shared<asio::steady_timer>(port->io, delay.by);
                   timer->async_wait([port, bytes, timer](error_code) {
                     SendDatagram(port, bytes);
                   });
                 },
                 [&](const lose_bytes& loss) {
                   if (!loss.to_target) {
                     SendDatagram(port, bytes);
                   }
                 },
                 [](const refuse_all&) {},
                 [&](const truncate_answers&) { SendDatagram(port, bytes); },
                 [&](const lose_answers&) { SendDatagram(port, bytes); }},
      *port->fault);
}

void ReceiveDatagram(const shared_state& port) {
  port->datagrams.async_receive_from(
      asio::buffer(port->datagram), port->sender,
      [port](error_code error, std::size_t size) {
        if (error == asio::error::operation_aborted) {
          return;
        }
        if (!error) {
          PassDatagram(port, std::string(port->datagram.data(), size));
        }
        ReceiveDatagram(port);
      });
}

}  // namespace

proxy_port::proxy_port(std::shared_ptr<state> initial)
    : state_(std::move(initial)) {}

const std::string& proxy_port::name() const {
  return state_->route.name;
}

result<std::shared_ptr<proxy_port>> proxy_port::Start(
    asio::io_context& io,
    const proxy_route& route) {
  const auto port = std::make_shared<state>(io, route);
  error_code failure = Listen(port);
  const auto where = EndpointOf<udp>(route.listen);
  if (!failure) {
    port->datagrams.open(where.protocol(), failure);
    port->datagrams.bind(where, failure);
  }
  if (failure) {
    return error(failure, step::kListen, route.listen.ToString(), route.name);
  }
  ReceiveDatagram(port);
  return std::shared_ptr<proxy_port>(new proxy_port(port));
}

void proxy_port::Close() {
  error_code ignored;
  state_->acceptor.close(ignored);
  state_->datagrams.close(ignored);
  const auto links = state_->links;
  for (const auto& link : links) {
    link->Reset();
  }
}

result<bool> proxy_port::Apply(const fault_order& order) {
  const bool was_refusing = std::holds_alternative<refuse_all>(*state_->fault);
  const bool refuses = std::holds_alternative<refuse_all>(order.fault);
  *state_->fault = order.fault;
  if (order.silence_open) {
    for (const auto& link : state_->links) {
      link->Silence();
    }
  }
  if (refuses) {
    error_code ignored;
    state_->acceptor.close(ignored);
    const auto links = state_->links;
    for (const auto& link : links) {
      link->Reset();
    }
  } else if (was_refusing) {
    const error_code failure = Listen(state_);
    if (failure) {
      return error(failure, step::kListen, state_->route.listen.ToString(),
                   name());
    }
  }
  return true;
}

}  // namespace bluebell
