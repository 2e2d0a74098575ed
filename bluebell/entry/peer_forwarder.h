// Forwards requests to dispatchers on other daemons and finds out what became
// of those whose link was lost. Lives on one traffic thread.
//
//   forwarder.Forward(target, std::move(submission));

#ifndef BLUEBELL_ENTRY_PEER_FORWARDER_H_
#define BLUEBELL_ENTRY_PEER_FORWARDER_H_

#include <map>
#include <memory>
#include <vector>

#include "bluebell/core/address.h"
#include "bluebell/dispatcher/dispatcher.h"
#include "bluebell/routing/route.h"
#include "bluebell/runtime/traffic_context.h"
#include "bluebell/wire/ledger_transfer.h"
#include "bluebell/wire/pressure_update.h"

namespace bluebell {

class peer_link;

class peer_forwarder {
 public:
  explicit peer_forwarder(traffic_context context);
  peer_forwarder(const peer_forwarder&) = delete;
  peer_forwarder& operator=(const peer_forwarder&) = delete;
  ~peer_forwarder();

  // Ends the submission with the dispatcher's outcome. If the link is lost, the
  // dispatcher is asked by request id on a new connection.
  void Forward(const order_target& target, dispatch_submission submission);

  void SendLedger(const address& to, const ledger_transfer& ledger);

  // To the daemons that this one forwards to.
  void SharePressures(const std::vector<pressure_update>& updates);

 private:
  class forwarded;

  // Empty if `where` is no address to connect to.
  peer_link* LinkTo(const address& where);

  traffic_context context_;
  std::map<address, std::unique_ptr<peer_link>> links_;
};

}  // namespace bluebell

#endif  // BLUEBELL_ENTRY_PEER_FORWARDER_H_
