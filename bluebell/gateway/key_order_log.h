// Log lines of the coordinator's orders about keys, one for each step of an
// order. With them the history of one range can be read over all daemons: each
// names the service, the range, the fence or the move, and the term of the
// coordinator. Ages are in milliseconds before the line.
//
//   LogReleaseSent(service, term, order, now);

#ifndef BLUEBELL_GATEWAY_KEY_ORDER_LOG_H_
#define BLUEBELL_GATEWAY_KEY_ORDER_LOG_H_

#include <cstdint>

#include "bluebell/core/ids.h"
#include "bluebell/core/result.h"
#include "bluebell/core/time.h"
#include "bluebell/http/http_message.h"

namespace bluebell {

struct grant_reply;
struct send_grant;
struct send_release;
struct write_key_table;

// Renewals are logged at the debug level, since there are many.
void LogGrantSent(const service_name& service,
                  std::uint64_t term,
                  const send_grant& order,
                  instant now);
// `response` is what `reply` was read from.
void LogGrantReply(const service_name& service,
                   std::uint64_t term,
                   const send_grant& order,
                   const grant_reply& reply,
                   const result<http_response>& response,
                   instant sent_at,
                   instant now);
void LogReleaseSent(const service_name& service,
                    std::uint64_t term,
                    const send_release& order,
                    instant now);
void LogReleaseReply(const service_name& service,
                     std::uint64_t term,
                     const send_release& order,
                     bool confirmed,
                     instant sent_at,
                     instant now);
// One line for each range that the written table reassigns.
void LogReassignments(const service_name& service,
                      std::uint64_t term,
                      const write_key_table& written,
                      instant now);

}  // namespace bluebell

#endif  // BLUEBELL_GATEWAY_KEY_ORDER_LOG_H_
