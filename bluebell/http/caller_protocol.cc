#include "bluebell/http/caller_protocol.h"

#include <algorithm>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/verb.hpp>
#include <charconv>
#include <chrono>
#include <limits>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>

#include "bluebell/core/outcome.h"
#include "bluebell/core/overloaded.h"
#include "bluebell/http/header_names.h"
#include "bluebell/http/internal/request_path.h"

namespace bluebell {

namespace {

namespace beast = boost::beast;
namespace bhttp = boost::beast::http;

constexpr std::size_t kMaxCallerBytes = 128;
constexpr std::size_t kMaxKeyBytes = 1024;

beast::string_view ToBeast(std::string_view text) {
  return {text.data(), text.size()};
}

error Invalid(std::string detail) {
  return {errc::kInvalidArgument, step::kParseRequest, "", std::move(detail)};
}

// The value of a header that may occur at most once. Nothing if it is missing;
// fails if it occurs more often.
result<std::optional<std::string>> SingleHeader(const bhttp::fields& fields,
                                                std::string_view name) {
  const auto found = fields.equal_range(ToBeast(name));
  if (found.first == found.second) {
    return std::optional<std::string>();
  }
  if (std::next(found.first) != found.second) {
    return Invalid("header " + std::string(name) + " occurs more than once");
  }
  return std::optional<std::string>(std::string(found.first->value()));
}

result<rank> ReadRank(const bhttp::fields& fields) {
  const auto text = SingleHeader(fields, kRankHeader);
  if (!text) {
    return text.error();
  }
  if (!text.value()) {
    return rank::kNormal;
  }
  const std::optional<rank> parsed = ParseRank(*text.value());
  if (!parsed) {
    return Invalid("Bluebell-Rank must be urgent, normal or deferrable");
  }
  return *parsed;
}

result<bool> ReadIdempotent(const http_request& message) {
  const auto text = SingleHeader(message, kIdempotentHeader);
  if (!text) {
    return text.error();
  }
  if (!text.value()) {
    return message.method() == bhttp::verb::get ||
           message.method() == bhttp::verb::head;
  }
  if (*text.value() != "true" && *text.value() != "false") {
    return Invalid("Bluebell-Idempotent must be true or false");
  }
  return *text.value() == "true";
}

// The time until the deadline that the caller names. Nothing if it names none.
result<std::optional<milliseconds>> ReadTimeLeft(const bhttp::fields& fields) {
  const auto text = SingleHeader(fields, kDeadlineHeader);
  if (!text) {
    return text.error();
  }
  if (!text.value()) {
    return std::optional<milliseconds>();
  }
  const std::string& digits = *text.value();
  std::uint32_t count = 0;
  const char* end = digits.data() + digits.size();
  const auto parsed = std::from_chars(digits.data(), end, count);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return Invalid("Bluebell-Deadline-Ms must be a whole number from 1 to " +
                   std::to_string(std::numeric_limits<std::uint32_t>::max()));
  }
  if (count == 0) {
    return error(errc::kTimeout, step::kParseRequest, "",
                 "the deadline expired before the request arrived");
  }
  return std::optional<milliseconds>(milliseconds(count));
}

result<caller_name> ReadCaller(const bhttp::fields& fields) {
  const auto text = SingleHeader(fields, kCallerHeader);
  if (!text) {
    return text.error();
  }
  if (text.value() && text.value()->size() > kMaxCallerBytes) {
    return Invalid("Bluebell-Caller is longer than 128 bytes");
  }
  return caller_name(text.value().value_or(""));
}

result<std::optional<std::string>> ReadKey(const bhttp::fields& fields,
                                           bool keyed) {
  const auto text = SingleHeader(fields, kKeyHeader);
  if (!text) {
    return text.error();
  }
  const bool missing = !text.value() || text.value()->empty();
  if (keyed && missing) {
    return Invalid("this service is divided by key: Bluebell-Key is missing");
  }
  if (!missing && text.value()->size() > kMaxKeyBytes) {
    return Invalid("Bluebell-Key is longer than 1024 bytes");
  }
  return missing ? std::optional<std::string>() : text.value();
}

// Reads the request id, or creates one for an idempotent request without one.
result<request_id> ReadId(const bhttp::fields& fields,
                          bool idempotent,
                          const request_arrival& arrival) {
  const auto text = SingleHeader(fields, kIdempotencyKeyHeader);
  if (!text) {
    return text.error();
  }
  if (text.value()) {
    const result<request_id> parsed = request_id::Parse(*text.value());
    if (!parsed) {
      return Invalid("Idempotency-Key: " + parsed.error().detail());
    }
    return parsed.value();
  }
  if (!idempotent) {
    return Invalid(
        "a request that isn't idempotent needs an Idempotency-Key (a UUID of "
        "version 7)");
  }
  return request_id::Make(arrival.wall_at, arrival.random);
}

// Reads rank, idempotence, deadline, key and id from the headers into
// `request`. Returns the first error; nothing on success.
std::optional<error> ReadRequestHeaders(const http_request& message,
                                        const service_terms& terms,
                                        const request_arrival& arrival,
                                        caller_request& request) {
  const auto priority = ReadRank(message);
  const auto idempotent = ReadIdempotent(message);
  const auto time_left = ReadTimeLeft(message);
  const auto key = ReadKey(message, terms.keyed);
  if (!priority || !idempotent || !time_left || !key) {
    return !priority     ? priority.error()
           : !idempotent ? idempotent.error()
           : !time_left  ? time_left.error()
                         : key.error();
  }
  const auto id = ReadId(message, idempotent.value(), arrival);
  if (!id) {
    return id.error();
  }
  const std::size_t index = RankIndex(priority.value());
  const milliseconds requested_time =
      time_left.value().value_or(terms.default_deadline.at(index));
  request.id = id.value();
  request.key = key.value();
  request.priority = priority.value();
  request.deadline =
      arrival.at + std::min(requested_time, terms.max_deadline.at(index));
  request.idempotent = idempotent.value();
  request.id_from_caller = message.count(ToBeast(kIdempotencyKeyHeader)) > 0;
  return std::nullopt;
}

unsigned StatusOf(not_run_reason reason) {
  switch (reason) {
    case not_run_reason::kInvalidRequest:
      return 400;
    case not_run_reason::kUnknownService:
      return 404;
    case not_run_reason::kOverloaded:
      return 429;
    default:
      return 503;
  }
}

http_response EmptyResponse(unsigned status,
                            outcome_kind kind,
                            const response_context& context) {
  http_response response(bhttp::int_to_status(status), context.http_version);
  response.result(status);
  response.set(ToBeast(kOutcomeHeader), ToBeast(ToString(kind)));
  if (context.id) {
    response.set(ToBeast(kRequestIdHeader), context.id->ToString());
  }
  response.keep_alive(context.keep_alive);
  return response;
}

void SetBody(http_response& response,
             std::string body,
             const response_context& context) {
  response.content_length(body.size());
  if (!context.head) {
    response.body() = std::move(body);
  }
}

// A response that this system creates itself, with the reason in a header and
// in a line of text.
http_response TextResponse(unsigned status,
                           outcome_kind kind,
                           std::string_view reason,
                           const std::string& detail,
                           const response_context& context) {
  http_response response = EmptyResponse(status, kind, context);
  response.set(ToBeast(kReasonHeader), ToBeast(reason));
  response.set(bhttp::field::content_type, "text/plain");
  std::string text(ToString(kind));
  text.append(": ").append(reason);
  if (!detail.empty()) {
    text.append(": ").append(detail);
  }
  SetBody(response, text + '\n', context);
  return response;
}

// `Retry-After` is in whole seconds, too coarse for requests that take
// milliseconds; the second header has the exact delay.
void SetRetryAfter(http_response& response, milliseconds delay) {
  const auto whole_seconds = std::chrono::ceil<std::chrono::seconds>(delay);
  response.set(bhttp::field::retry_after, std::to_string(std::max<std::int64_t>(
                                              1, whole_seconds.count())));
  if (delay.count() > 0) {
    response.set(ToBeast(kRetryAfterMsHeader), std::to_string(delay.count()));
  }
}

http_response NotRunResponse(unsigned status,
                             const not_run& outcome,
                             const response_context& context) {
  http_response response =
      TextResponse(status, outcome_kind::kNotRun, ToString(outcome.reason),
                   outcome.detail, context);
  if (status == 429 || status == 503) {
    SetRetryAfter(response, outcome.retry_after);
  }
  return response;
}

bool HasNoBody(unsigned status) {
  return status == 204 || status == 304;
}

http_response AnswerResponse(const answer& outcome,
                             const response_context& context) {
  http_response response =
      EmptyResponse(outcome.status, outcome_kind::kAnswer, context);
  for (const http_header& header : outcome.headers) {
    response.insert(header.name, header.value);
  }
  if (!HasNoBody(outcome.status) && !context.head) {
    SetBody(response, outcome.body, context);
  }
  return response;
}

unsigned StatusOf(const error& failure) {
  if (failure.code() == errc::kTooLarge) {
    return failure.at() == step::kDecodeMessage ? 431 : 413;
  }
  return StatusOf(RefusalOf(failure).reason);
}

}  // namespace

result<caller_request> ParseCallerRequest(http_request message,
                                          const service_lookup& lookup,
                                          const request_arrival& arrival) {
  const beast::string_view target = message.target();
  const auto service = ServiceOfTarget({target.data(), target.size()});
  if (!service) {
    return service.error();
  }
  if (message.method() == bhttp::verb::connect) {
    return Invalid("method CONNECT is not served");
  }
  const auto caller = ReadCaller(message);
  if (!caller) {
    return caller.error();
  }
  const auto terms = lookup(service.value(), caller.value());
  if (!terms) {
    return error(errc::kNotFound, step::kParseRequest, "",
                 "there is no service " + service.value().value());
  }
  caller_request request;
  request.service = service.value();
  request.caller = caller.value();
  if (const auto failure =
          ReadRequestHeaders(message, *terms, arrival, request)) {
    return *failure;
  }
  request.method = std::string(message.method_string());
  request.target = std::string(target);
  request.headers = EndToEndHeaders(message);
  request.body = std::move(message.body());
  return request;
}

not_run RefusalOf(const error& failure) {
  not_run_reason reason = not_run_reason::kInvalidRequest;
  if (failure.code() == errc::kNotFound) {
    reason = not_run_reason::kUnknownService;
  } else if (failure.code() == errc::kTimeout) {
    reason = not_run_reason::kDeadlineExpired;
  } else if (failure.code() == errc::kUnavailable) {
    reason = not_run_reason::kNoEndpoint;
  }
  return {reason, failure.detail(), milliseconds(0)};
}

http_response CallerResponse(const request_outcome& outcome,
                             const response_context& context) {
  return std::visit(overloaded{[&](const answer& answered) {
                                 return AnswerResponse(answered, context);
                               },
                               [&](const not_run& refused) {
                                 return NotRunResponse(StatusOf(refused.reason),
                                                       refused, context);
                               },
                               [&](const unknown& unresolved) {
                                 return TextResponse(
                                     504, outcome_kind::kUnknown,
                                     ToString(unresolved.reason),
                                     unresolved.detail, context);
                               }},
                    outcome);
}

http_response RefusalResponse(const error& failure,
                              const response_context& context) {
  return NotRunResponse(StatusOf(failure), RefusalOf(failure), context);
}

}  // namespace bluebell
