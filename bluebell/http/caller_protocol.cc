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

constexpr std::size_t kMaxNameLength = 128;
constexpr std::size_t kMaxKeyLength = 1024;

beast::string_view ToBeast(std::string_view text) {
  return {text.data(), text.size()};
}

error Invalid(std::string detail) {
  return {errc::kInvalidArgument, step::kParseRequest, "", std::move(detail)};
}

// The value of a header that may occur once. Empty optional: it is missing.
result<std::optional<std::string>> Single(const bhttp::fields& fields,
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
  const auto text = Single(fields, kRankHeader);
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
  const auto text = Single(message, kIdempotentHeader);
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

result<std::optional<milliseconds>> ReadBudget(const bhttp::fields& fields) {
  const auto text = Single(fields, kDeadlineHeader);
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
  const auto text = Single(fields, kCallerHeader);
  if (!text) {
    return text.error();
  }
  if (text.value() && text.value()->size() > kMaxNameLength) {
    return Invalid("Bluebell-Caller is longer than 128 bytes");
  }
  return caller_name(text.value().value_or(""));
}

result<std::optional<std::string>> ReadKey(const bhttp::fields& fields,
                                           bool keyed) {
  const auto text = Single(fields, kKeyHeader);
  if (!text) {
    return text.error();
  }
  const bool missing = !text.value() || text.value()->empty();
  if (keyed && missing) {
    return Invalid("this service is divided by key: Bluebell-Key is missing");
  }
  if (!missing && text.value()->size() > kMaxKeyLength) {
    return Invalid("Bluebell-Key is longer than 1024 bytes");
  }
  return missing ? std::optional<std::string>() : text.value();
}

// Reads or makes the request id.
result<request_id> ReadId(const bhttp::fields& fields,
                          bool idempotent,
                          const request_arrival& arrival) {
  const auto text = Single(fields, kIdempotencyKeyHeader);
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

// Reads the headers that describe the caller's wishes into `request`. Empty
// on success.
std::optional<error> ReadWishes(const http_request& message,
                                const service_terms& terms,
                                const request_arrival& arrival,
                                caller_request& request) {
  const auto priority = ReadRank(message);
  const auto idempotent = ReadIdempotent(message);
  const auto budget = ReadBudget(message);
  const auto key = ReadKey(message, terms.keyed);
  if (!priority || !idempotent || !budget || !key) {
    return !priority     ? priority.error()
           : !idempotent ? idempotent.error()
           : !budget     ? budget.error()
                         : key.error();
  }
  const auto id = ReadId(message, idempotent.value(), arrival);
  if (!id) {
    return id.error();
  }
  const std::size_t index = RankIndex(priority.value());
  const milliseconds wanted =
      budget.value().value_or(terms.default_deadline.at(index));
  request.id = id.value();
  request.key = key.value();
  request.priority = priority.value();
  request.deadline =
      arrival.at + std::min(wanted, terms.max_deadline.at(index));
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

// A response of this system's own, which gives its reason in a header and in a
// line of text.
http_response OwnResponse(unsigned status,
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

// `Retry-After` counts whole seconds, too coarse for work that takes
// milliseconds; the second header gives the exact hint.
void SetRetryAfter(http_response& response, milliseconds hint) {
  const auto whole = std::chrono::ceil<std::chrono::seconds>(hint);
  response.set(bhttp::field::retry_after,
               std::to_string(std::max<std::int64_t>(1, whole.count())));
  if (hint.count() > 0) {
    response.set(ToBeast(kRetryAfterMsHeader), std::to_string(hint.count()));
  }
}

http_response NotRunResponse(unsigned status,
                             const not_run& outcome,
                             const response_context& context) {
  http_response response =
      OwnResponse(status, outcome_kind::kNotRun, ToString(outcome.reason),
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
  if (const auto failure = ReadWishes(message, *terms, arrival, request)) {
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
  return std::visit(
      overloaded{[&](const answer& v) { return AnswerResponse(v, context); },
                 [&](const not_run& v) {
                   return NotRunResponse(StatusOf(v.reason), v, context);
                 },
                 [&](const unknown& v) {
                   return OwnResponse(504, outcome_kind::kUnknown,
                                      ToString(v.reason), v.detail, context);
                 }},
      outcome);
}

http_response RefusalResponse(const error& failure,
                              const response_context& context) {
  return NotRunResponse(StatusOf(failure), RefusalOf(failure), context);
}

}  // namespace bluebell
