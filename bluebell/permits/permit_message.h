// Messages about permits between the daemons and the dispatcher of a service.
//
// A permit allows its holder, a daemon, to send one request to one endpoint.
// The dispatcher issues permits so that urgent requests go first and no
// endpoint gets more requests than it has slots for. The holder sends a
// permit_request, gets a permit_reply, and sends a permit_release when the
// request has ended. Endpoints don't check permits. Therefore a lost message or
// a lost dispatcher can delay or reorder requests, but can't make a result
// wrong.

#ifndef BLUEBELL_PERMITS_PERMIT_MESSAGE_H_
#define BLUEBELL_PERMITS_PERMIT_MESSAGE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "bluebell/core/address.h"
#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"
#include "bluebell/keyspace/key_range.h"
#include "bluebell/permits/endpoint_load.h"

namespace bluebell {

struct permit_id {
  // The run (incarnation) of the daemon that requests the permit.
  std::uint64_t holder = 0;
  // Counts the requests of that run, starting at 1.
  std::uint64_t number = 0;

  friend bool operator==(const permit_id&, const permit_id&) = default;
  friend auto operator<=>(const permit_id&, const permit_id&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(holder, number);
  }
};

struct permit_id_hash {
  std::size_t operator()(const permit_id& id) const noexcept {
    // Distributes well because the run of a holder is random and its numbers
    // are consecutive.
    return static_cast<std::size_t>(id.holder ^ (id.number << 1U));
  }
};

// Requests a permit. The requester repeats it until it gets a reply.
struct permit_request {
  permit_id id;
  service_name service;
  // The route of the request, by which the dispatcher estimates how long it
  // takes.
  std::string route;
  domain_name domain;
  // 0 is the most urgent rank.
  std::uint32_t rank = 0;
  // Set for a request to a keyed service that names a key.
  std::optional<shard_key> key;
  // Time until the response-time objective of the caller, from the sending of
  // this message. A later response is worth less. Negative if it has passed.
  std::int64_t objective_left_ms = 0;
  // Time until the deadline, from the sending of this message. A later response
  // is of no use.
  std::int64_t time_left_ms = 0;
  // Endpoints that the requester can't reach or has tried already.
  std::vector<endpoint_id> excluded_endpoints;
  // When this message was sent, by the requester's own clock. Only the
  // requester compares it with other times; see permit_granted.
  std::int64_t sent_at_ms = 0;
  // The size of the request's body.
  std::uint64_t body_bytes = 0;

  friend bool operator==(const permit_request&,
                         const permit_request&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, service, route, domain, rank, key, objective_left_ms,
            time_left_ms, excluded_endpoints, sent_at_ms, body_bytes);
  }
};

// The permit is issued: the holder may send the request to `endpoint`.
struct permit_granted {
  permit_id id;
  service_name service;
  endpoint_instance endpoint;
  // The address of the endpoint.
  address where;
  // The fence under which `endpoint` owns the request's key; zero for a request
  // without a key.
  epoch fence;
  // The highest fence of the dispatcher's key table when it issued the permit.
  epoch table_fence;
  // The mean response time of the route at this endpoint.
  std::uint32_t expected_ms = 0;
  // The store revision of the latest endpoint change that the dispatcher knows.
  std::uint64_t endpoints_revision = 0;
  // True if the endpoint's entry is missing from the store, which may be due to
  // an outage of the store.
  bool lapsing = false;
  // If not zero, the permit may be used for this long after its issue; see
  // permit_use.h.
  std::uint32_t use_within_ms = 0;
  // The earliest time at which the permit can have been issued, by the holder's
  // clock: the time that its permit_request states, and how long the dispatcher
  // held that.
  std::int64_t issued_at_ms = 0;

  friend bool operator==(const permit_granted&,
                         const permit_granted&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, service, endpoint, where, fence, table_fence, expected_ms,
            endpoints_revision, lapsing, use_within_ms, issued_at_ms);
  }
};

// The request waits for a slot. A permit_granted or permit_refused follows.
struct permit_queued {
  permit_id id;

  friend bool operator==(const permit_queued&, const permit_queued&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id);
  }
};

enum class permit_refusal : std::uint8_t {
  // The request would not be answered before its deadline.
  kOverloaded,
  // The dispatcher knows no endpoint of the service.
  kNoEndpoint,
  // The key has no owner, or its owner can't be reached or doesn't serve the
  // key at the moment.
  kOwnerUnavailable,
  // The requesting daemon is about to exit. Not sent in messages.
  kShuttingDown,
};

// Text for logs and for the caller, for example "overloaded".
std::string_view Describe(permit_refusal reason);

// No permit is issued. The requester may send a new permit_request later.
struct permit_refused {
  permit_id id;
  permit_refusal reason = permit_refusal::kOverloaded;
  // Time until the dispatcher expects that it can issue a permit.
  std::uint32_t retry_after_ms = 0;
  // True if capacity is reserved for the requester at that time. Not sent in
  // messages.
  bool promised = false;

  friend bool operator==(const permit_refused&,
                         const permit_refused&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, reason, retry_after_ms);
  }
};

using permit_reply =
    std::variant<permit_granted, permit_queued, permit_refused>;

// How the request of a permit ended. The dispatcher rates the endpoint by it.
enum class permit_outcome : std::uint8_t {
  kAnswered,
  // The endpoint ran the request and answered with a failure of its own.
  kFailed,
  // The endpoint refused the request without running it.
  kShed,
  // Another endpoint instance has the address, or the endpoint doesn't serve
  // the key.
  kMisdirected,
  // No connection to the endpoint; nothing was sent.
  kUnreachable,
  // The request was sent, and no complete response arrived.
  kNoResponse,
  // The caller disconnected, or the deadline passed, before the endpoint
  // answered.
  kAbandoned,
  // Nothing was sent, for a reason on the requester's side.
  kUnused,
};

// Releases a permit, or withdraws a request for one.
struct permit_release {
  permit_id id;
  service_name service;
  // Empty if the permit had not been granted yet.
  endpoint_id endpoint;
  permit_outcome outcome = permit_outcome::kUnused;
  // Time from the sending of the request to the end of the response.
  std::uint32_t took_ms = 0;
  // The load that the endpoint reported with the response, if any.
  std::optional<endpoint_load> load;

  friend bool operator==(const permit_release&,
                         const permit_release&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, service, endpoint, outcome, took_ms, load);
  }
};

// A permit that is in use: granted and not yet released.
struct open_permit {
  permit_id id;
  endpoint_id endpoint;
  std::string route;
  std::uint32_t rank = 0;

  friend bool operator==(const open_permit&, const open_permit&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, endpoint, route, rank);
  }
};

// All permits of a service that a daemon uses at the moment, whichever
// dispatcher issued them. The dispatcher frees permits whose release was lost,
// and a new dispatcher learns which slots are in use.
struct permit_report {
  // The run of the reporting daemon.
  std::uint64_t holder = 0;
  service_name service;
  // The newest revision of the store that the reporting daemon has seen. Either
  // side learns from it that it missed changes.
  std::uint64_t revision = 0;
  std::vector<open_permit> open;

  friend bool operator==(const permit_report&, const permit_report&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(holder, service, revision, open);
  }
};

// Answers a permit_report.
struct permit_report_ack {
  service_name service;
  // The newest revision of the store that the dispatcher has seen.
  std::uint64_t revision = 0;

  friend bool operator==(const permit_report_ack&,
                         const permit_report_ack&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(service, revision);
  }
};

// An endpoint has stated in a response that it is leaving. Sent to the
// dispatcher of its service, which may hear of it from the store only later.
struct endpoint_leaving {
  endpoint_instance endpoint;

  friend bool operator==(const endpoint_leaving&,
                         const endpoint_leaving&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(endpoint);
  }
};

}  // namespace bluebell

#endif  // BLUEBELL_PERMITS_PERMIT_MESSAGE_H_
