#include "bluebell/proxy/attempt_result.h"

#include <variant>

#include "bluebell/core/overloaded.h"

namespace bluebell {

namespace {

constexpr unsigned kFirstSuccess = 200;
constexpr unsigned kFirstRedirect = 300;
constexpr unsigned kRequestTimeout = 408;
constexpr unsigned kMisdirected = 421;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kFirstServerError = 500;
constexpr unsigned kUnavailable = 503;

// True if callers take `status` as the promise that the request did not run.
bool MeansNotRun(unsigned status) {
  return status == kRequestTimeout || status == kMisdirected ||
         status == kTooManyRequests || status == kUnavailable;
}

// True if this daemon ended the exchange for lack of memory, which says nothing
// about the endpoint.
bool IsOutOfMemory(const exchange_result& exchange) {
  const auto* lost = std::get_if<exchange_lost>(&exchange);
  return lost != nullptr && lost->cause.code() == errc::kTooLarge;
}

}  // namespace

std::string_view Describe(attempt_result result) {
  switch (result) {
    case attempt_result::kAnswered:
      return "answered";
    case attempt_result::kFailed:
      return "failed";
    case attempt_result::kUnconfirmed:
      return "unvouched";
    case attempt_result::kUnprovenRefusal:
      return "unproven_refusal";
    case attempt_result::kNotRun:
      return "not_run";
    case attempt_result::kUnsent:
      return "unsent";
    case attempt_result::kLost:
      return "lost";
  }
  return "unknown";
}

attempt_result ResultOf(const exchange_result& exchange, bool idempotent) {
  return std::visit(
      overloaded{[idempotent](const exchange_answered& answered) {
                   const unsigned status = answered.response.result_int();
                   const bool named = answered.match == response_match::kNamed;
                   if (answered.reply_info.not_run) {
                     return named || idempotent ? attempt_result::kNotRun
                                                : attempt_result::kUnconfirmed;
                   }
                   if (answered.match == response_match::kUnnamed) {
                     return attempt_result::kUnconfirmed;
                   }
                   if (MeansNotRun(status)) {
                     return attempt_result::kUnprovenRefusal;
                   }
                   if (status >= kFirstServerError) {
                     return attempt_result::kFailed;
                   }
                   const bool success =
                       status >= kFirstSuccess && status < kFirstRedirect;
                   return success && !answered.reply_info.has_receipt
                              ? attempt_result::kUnconfirmed
                              : attempt_result::kAnswered;
                 },
                 [](const exchange_unsent&) { return attempt_result::kUnsent; },
                 [](const exchange_lost&) { return attempt_result::kLost; }},
      exchange);
}

permit_outcome OutcomeOf(const exchange_result& exchange,
                         attempt_result result) {
  switch (result) {
    case attempt_result::kAnswered:
      return permit_outcome::kAnswered;
    case attempt_result::kFailed:
    case attempt_result::kUnconfirmed:
    case attempt_result::kUnprovenRefusal:
      return permit_outcome::kFailed;
    case attempt_result::kNotRun:
      return std::get<exchange_answered>(exchange).reply_info.misdirected
                 ? permit_outcome::kMisdirected
                 : permit_outcome::kShed;
    case attempt_result::kUnsent:
      return permit_outcome::kUnreachable;
    case attempt_result::kLost:
      return IsOutOfMemory(exchange) ? permit_outcome::kAbandoned
                                     : permit_outcome::kNoResponse;
  }
  return permit_outcome::kUnused;
}

}  // namespace bluebell
