// The variant of all messages between daemons.

#ifndef BLUEBELL_WIRE_WIRE_MESSAGE_H_
#define BLUEBELL_WIRE_WIRE_MESSAGE_H_

#include <variant>

#include "bluebell/fleet/fleet_update.h"
#include "bluebell/keyspace/coordinator_change.h"
#include "bluebell/membership/heartbeat.h"
#include "bluebell/permits/permit_message.h"
#include "bluebell/wire/forward_reply.h"
#include "bluebell/wire/forward_request.h"
#include "bluebell/wire/ledger_transfer.h"
#include "bluebell/wire/link_probe.h"
#include "bluebell/wire/pressure_update.h"
#include "bluebell/wire/request_query.h"
#include "bluebell/wire/state_exchange.h"

namespace bluebell {

// The position in this list is the type number on the wire, so new types are
// only appended.
using wire_message = std::variant<heartbeat,
                                  forward_request,
                                  forward_reply,
                                  request_query,
                                  query_reply,
                                  ledger_transfer,
                                  ledger_transfer_reply,
                                  state_request,
                                  state_reply,
                                  pressure_update,
                                  link_probe,
                                  permit_request,
                                  permit_granted,
                                  permit_queued,
                                  permit_refused,
                                  permit_release,
                                  permit_report,
                                  permit_report_ack,
                                  coordinator_claim,
                                  coordinator_yield,
                                  endpoint_leaving,
                                  fleet_update_request,
                                  fleet_update>;

}  // namespace bluebell

#endif  // BLUEBELL_WIRE_WIRE_MESSAGE_H_
