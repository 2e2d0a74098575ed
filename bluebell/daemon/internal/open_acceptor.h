// Opens a listening TCP socket.
//
//   result<address> listening = OpenAcceptor(acceptor, settings.admin_listen);

#ifndef BLUEBELL_DAEMON_INTERNAL_OPEN_ACCEPTOR_H_
#define BLUEBELL_DAEMON_INTERNAL_OPEN_ACCEPTOR_H_

#include <boost/asio/ip/tcp.hpp>

#include "bluebell/core/address.h"
#include "bluebell/core/result.h"

namespace bluebell {

// Returns the address that is listened on, with the port that the system chose
// if `listen` names port zero. Fails with errc::kUnavailable and step::kListen.
result<address> OpenAcceptor(boost::asio::ip::tcp::acceptor& acceptor,
                             const address& listen);

}  // namespace bluebell

#endif  // BLUEBELL_DAEMON_INTERNAL_OPEN_ACCEPTOR_H_
