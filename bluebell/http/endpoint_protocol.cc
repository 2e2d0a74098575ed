#include "bluebell/http/endpoint_protocol.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/verb.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <charconv>
#include <chrono>
#include <sstream>
#include <system_error>
#include <utility>

#include "bluebell/http/header_names.h"

namespace bluebell {

namespace {

namespace beast = boost::beast;
namespace bhttp = boost::beast::http;

// Names of the values of order_refusal, in the same order.
constexpr auto kRefusalNames = std::to_array<std::string_view>({
    "not_owner",
    "wrong_instance",
    "draining",
    "overloaded",
    "expired",
    "stale_dispatcher",
});

constexpr unsigned kHttp11 = 11;

beast::string_view ToBeast(std::string_view text) {
  return {text.data(), text.size()};
}

std::string_view FromBeast(beast::string_view text) {
  return {text.data(), text.size()};
}

// The time until the deadline in whole milliseconds, at least 1. Rounded down
// so that the endpoint's deadline is no later than the caller's.
std::string TimeLeftText(instant deadline, instant now) {
  const auto time_left = std::chrono::floor<milliseconds>(deadline - now);
  return std::to_string(std::max<std::int64_t>(1, time_left.count()));
}

std::string SliceText(const slice_range& range) {
  std::ostringstream text;
  text << range;
  return text.str();
}

not_run NotRunFor(order_refusal refusal) {
  const std::string detail =
      "the endpoint refused: " + std::string(ToString(refusal));
  switch (refusal) {
    case order_refusal::kOverloaded:
      return {not_run_reason::kOverloaded, detail, milliseconds(0)};
    case order_refusal::kExpired:
      return {not_run_reason::kDeadlineExpired, detail, milliseconds(0)};
    default:
      return {not_run_reason::kRefusedByEndpoint, detail, milliseconds(0)};
  }
}

order_reply WrongInstance(std::optional<endpoint_instance> from,
                          const endpoint_instance& expected_instance) {
  const std::string named =
      from ? "instance " + InstanceText(*from) : "no instance";
  return {unknown{unknown_reason::kConnectionLost,
                  "the answer names " + named + " instead of " +
                      InstanceText(expected_instance)},
          std::nullopt, std::move(from)};
}

}  // namespace

std::string_view ToString(order_refusal value) {
  return kRefusalNames.at(static_cast<std::size_t>(value));
}

std::optional<order_refusal> ParseOrderRefusal(std::string_view text) {
  const auto* const found =
      std::find(kRefusalNames.begin(), kRefusalNames.end(), text);
  if (found == kRefusalNames.end()) {
    return std::nullopt;
  }
  return static_cast<order_refusal>(found - kRefusalNames.begin());
}

std::string InstanceText(const endpoint_instance& instance) {
  return instance.endpoint.value() + '/' + std::to_string(instance.run.value());
}

std::optional<endpoint_instance> ParseInstance(std::string_view text) {
  const std::size_t slash = text.rfind('/');
  if (slash == std::string_view::npos || slash == 0) {
    return std::nullopt;
  }
  const std::string_view digits = text.substr(slash + 1);
  std::uint64_t run = 0;
  const char* end = digits.data() + digits.size();
  const auto parsed = std::from_chars(digits.data(), end, run);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return endpoint_instance{endpoint_id(std::string(text.substr(0, slash))),
                           incarnation(run)};
}

http_request OrderMessage(const caller_request& request,
                          const order_target& target,
                          std::uint64_t dispatcher_epoch,
                          instant now) {
  http_request message;
  message.version(kHttp11);
  message.method_string(request.method);
  message.target(request.target);
  message.set(bhttp::field::host, target.endpoint.where.ToString());
  for (const http_header& header : request.headers) {
    message.insert(header.name, header.value);
  }
  message.set(ToBeast(kInstanceHeader), InstanceText(target.endpoint.instance));
  if (target.range) {
    message.set(ToBeast(kSliceHeader), SliceText(*target.range));
    message.set(ToBeast(kEpochHeader), std::to_string(target.at.value()));
  }
  message.set(ToBeast(kDispatcherEpochHeader),
              std::to_string(dispatcher_epoch));
  if (request.key) {
    message.set(ToBeast(kKeyHeader), *request.key);
  }
  message.set(ToBeast(kDeadlineHeader), TimeLeftText(request.deadline, now));
  message.set(ToBeast(kIdempotencyKeyHeader), request.id.ToString());
  if (!request.body.empty() || request.method == "POST" ||
      request.method == "PUT" || request.method == "PATCH") {
    message.content_length(request.body.size());
    message.body() = request.body;
  }
  return message;
}

http_request CancelMessage(const request_id& id,
                           const endpoint_instance& instance,
                           const address& where) {
  http_request message(bhttp::verb::post, "/bluebell/cancel", kHttp11);
  message.set(bhttp::field::host, where.ToString());
  message.set(bhttp::field::content_type, "application/json");
  message.set(ToBeast(kInstanceHeader), InstanceText(instance));
  message.set(ToBeast(kIdempotencyKeyHeader), id.ToString());
  message.body() = R"({"id":")" + id.ToString() + R"("})";
  message.prepare_payload();
  return message;
}

bool ConfirmsCancellation(const http_response& response,
                          const endpoint_instance& expected_instance) {
  const auto from =
      ParseInstance(FromBeast(response[ToBeast(kInstanceHeader)]));
  boost::system::error_code failure;
  const boost::json::value body =
      boost::json::parse(ToBeast(response.body()), failure);
  if (failure || !body.is_object() || from != expected_instance) {
    return false;
  }
  const boost::json::value* state = body.as_object().if_contains("state");
  return state != nullptr && state->is_string() &&
         state->as_string() == "cancelled";
}

order_reply ReadOrderReply(http_response response,
                           const endpoint_instance& expected_instance) {
  const auto from =
      ParseInstance(FromBeast(response[ToBeast(kInstanceHeader)]));
  const auto refusal =
      ParseOrderRefusal(FromBeast(response[ToBeast(kRefusedHeader)]));
  if (refusal) {
    return {NotRunFor(*refusal), refusal, from};
  }
  if (response.count(ToBeast(kRefusedHeader)) > 0) {
    return {unknown{unknown_reason::kConnectionLost,
                    "the endpoint refused for a reason that isn't defined"},
            std::nullopt, from};
  }
  if (from != expected_instance) {
    return WrongInstance(from, expected_instance);
  }
  answer outcome;
  outcome.status = response.result_int();
  outcome.headers = EndToEndHeaders(response);
  if (response.has_content_length()) {
    // A response to HEAD has a length header and no body.
    const auto length = response[bhttp::field::content_length];
    if (response.body().empty() && length != "0") {
      outcome.headers.push_back({"Content-Length", std::string(length)});
    }
  }
  outcome.body = std::move(response.body());
  return {std::move(outcome), std::nullopt, from};
}

}  // namespace bluebell
