#include "bluebell/daemon/internal/lease_sender.h"

#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/verb.hpp>

#include "bluebell/http/lease_json.h"

namespace bluebell {

namespace {

namespace bhttp = boost::beast::http;

constexpr unsigned kHttp11 = 11;
constexpr seconds kMaxConnectionIdle{60};

// One call at a time, and a connection that was unused for 2 s is not used
// again, because it is not known after which time an endpoint closes idle
// connections. Renewals are sent several times per second, so connections are
// usually reused.
constexpr http_client_options kOptions = {1, 4U << 20U, milliseconds(2'000)};

result<lease_reply> ReplyOf(const result<http_response>& response,
                            const address& where) {
  if (!response) {
    return response.error();
  }
  if (response.value().result() != bhttp::status::ok) {
    return error(
        errc::kRefused, step::kGrantLease, where.ToString(),
        "HTTP status " + std::to_string(response.value().result_int()));
  }
  result<lease_reply> reply = ParseLeaseReply(response.value().body());
  if (!reply) {
    return error(reply.error().code(), step::kGrantLease, where.ToString(),
                 reply.error().detail());
  }
  return reply;
}

}  // namespace

lease_sender::lease_sender(boost::asio::io_context& io,
                           milliseconds timeout,
                           done_handler on_done)
    : io_(io), timeout_(timeout), on_done_(std::move(on_done)) {}

void lease_sender::Send(const address& where,
                        const lease_request& request,
                        instant now) {
  connection& link = connections_[where];
  if (!link.client) {
    result<std::unique_ptr<http_client>> made =
        http_client::Make(io_, where, kOptions);
    if (!made) {
      Fail(where, request.to.endpoint, now, made.error());
      return;
    }
    link.client = std::move(made).value();
  }
  if (link.busy) {
    Fail(where, request.to.endpoint, now,
         error(errc::kUnavailable, step::kGrantLease, where.ToString(),
               "another lease request to the endpoint is in flight"));
    return;
  }
  link.busy = true;
  link.last_sent = now;
  http_request message(bhttp::verb::post, "/bluebell/leases", kHttp11);
  message.set(bhttp::field::content_type, "application/json");
  message.body() = LeaseRequestToJson(request);
  link.client->Call(std::move(message), timeout_, step::kGrantLease,
                    [this, where, endpoint = request.to.endpoint,
                     now](const result<http_response>& response) {
                      Finish(where, endpoint, now, response);
                    });
}

void lease_sender::Finish(const address& where,
                          const endpoint_id& endpoint,
                          instant sent_at,
                          const result<http_response>& response) {
  connections_[where].busy = false;
  on_done_({endpoint, where, sent_at, ReplyOf(response, where)});
}

void lease_sender::Fail(const address& where,
                        const endpoint_id& endpoint,
                        instant now,
                        const error& cause) {
  boost::asio::post(io_, [this, where, endpoint, now, cause] {
    on_done_({endpoint, where, now, cause});
  });
}

void lease_sender::Sweep(instant now) {
  std::erase_if(connections_, [now](const auto& entry) {
    return !entry.second.busy &&
           now - entry.second.last_sent > kMaxConnectionIdle;
  });
}

}  // namespace bluebell
