#include "testing/gateway/endpoint_fault.h"

#include <utility>

namespace bluebell {

namespace {

constexpr double kSpoiledShare = 0.1;
constexpr double kFailedShare = 0.3;
constexpr double kTurnedAwayShare = 0.3;
constexpr double kSlowShare = 0.5;
// Longer than callers wait.
constexpr milliseconds kLongestWork{2'500};
constexpr milliseconds kMostIdleTime{40};
constexpr std::size_t kFewConnections = 2;

// A response without a body and without the id of an attempt.
std::string BareResponse(const std::string& status_line, bool not_run) {
  return "HTTP/1.1 " + status_line + "\r\n" +
         (not_run ? "X-Not-Executed: 1\r\n" : "") + "Content-Length: 0\r\n\r\n";
}

spoil_responses Spoil(std::vector<response_fault> kinds, double share) {
  return {std::move(kinds), share};
}

}  // namespace

std::vector<named_endpoint_fault> ResponseFaults(
    const endpoint_fault_draw& draw) {
  const milliseconds delay = draw.extra_delay;
  const std::size_t size = draw.truncated_bytes;
  const auto spoil = [](std::vector<response_fault> kinds) {
    return Spoil(std::move(kinds), kSpoiledShare);
  };
  return {
      {"truncated responses",
       spoil({truncate_response{size, connection_end::kClose},
              truncate_response{size, connection_end::kReset},
              truncate_response{size, connection_end::kSilence}})},
      {"lost responses",
       spoil({truncate_response{0, connection_end::kClose},
              truncate_response{0, connection_end::kReset},
              truncate_response{0, connection_end::kSilence}})},
      {"responses without a length", spoil({send_unframed()})},
      {"bytes that are no response",
       spoil({replace_response{"\x16\x03\x01 no response\r\n\r\n"},
              replace_response{"HTTP/1.1 \r\n\r\n"}})},
      {"copies after responses",
       spoil({append_copy{milliseconds(0)}, append_copy{delay}})},
      {"rejections after responses",
       spoil(
           {append_bytes{BareResponse("503 Service Unavailable", true), delay},
            append_bytes{BareResponse("400 Bad Request", true), delay}})},
      {"other bytes after responses",
       spoil(
           {append_bytes{BareResponse("503 Service Unavailable", false), delay},
            append_bytes{BareResponse("200 OK", false), delay},
            append_bytes{"no response", delay}})},
      {"failed requests", fail_work{{500, 503, 429, 408}, kFailedShare}},
      {"rejections", turn_work_away{true, kTurnedAwayShare}},
      {"rejections without an id", turn_work_away{false, kTurnedAwayShare}},
  };
}

std::vector<named_endpoint_fault> AllEndpointFaults(
    const endpoint_fault_draw& draw) {
  const milliseconds delay = draw.extra_delay;
  std::vector<named_endpoint_fault> faults = ResponseFaults(draw);
  const std::vector<named_endpoint_fault> further{
      {"parts of rejections after responses",
       Spoil({append_bytes{"HTTP/1.1 503 Service Unavailable\r\n"
                           "X-Not-Executed: 1\r\nX-Instance-Id: i-",
                           delay},
              append_bytes{"HTTP/1.1 503 Service Un", delay},
              append_bytes{"HTTP/1.1 429 Too Many Requests\r\nX-Not-", delay}},
             kTurnedAwayShare)},
      {"rejections with 429", turn_work_away{true, kTurnedAwayShare, 429}},
      {"rejections with 400", turn_work_away{false, kTurnedAwayShare, 400}},
      {"connections that end after a response",
       Spoil({announce_close(), close_when_idle{milliseconds(0)},
              close_when_idle{kMostIdleTime}, close_when_idle{delay}},
             kFailedShare)},
      {"few connections", limit_connections{kFewConnections}},
      {"slow work, with rejections", slow_work{kLongestWork, true, kSlowShare}},
      {"slow work, without rejections",
       slow_work{kLongestWork, false, kSlowShare}},
  };
  faults.insert(faults.end(), further.begin(), further.end());
  return faults;
}

}  // namespace bluebell
