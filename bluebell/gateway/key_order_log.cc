#include "bluebell/gateway/key_order_log.h"

#include <optional>
#include <string_view>

#include "bluebell/keyspace/coordinator_action.h"
#include "bluebell/telemetry/log_event.h"

namespace bluebell {

namespace {

std::int64_t AgeMs(instant when, instant now) {
  return std::chrono::duration_cast<milliseconds>(now - when).count();
}

void AddAge(log_event& line,
            std::string_view name,
            const std::optional<instant>& when,
            instant now) {
  if (when) {
    line.With(name, AgeMs(*when, now));
  }
}

void AddGrantTimes(log_event& line, const grant_times& times, instant now) {
  AddAge(line, "grant_sent_ms", times.last_sent, now);
  AddAge(line, "grant_answered_ms", times.last_answered, now);
  AddAge(line, "grant_unanswered_ms", times.last_unanswered, now);
}

void AddOrder(log_event& line,
              const service_name& service,
              std::uint64_t term,
              const endpoint_instance& endpoint,
              const key_range& range,
              const epoch& fence) {
  line.With("service", service)
      .With("term", term)
      .With("endpoint", endpoint.endpoint)
      .With("first", range.first)
      .With("last", range.last)
      .With("fence", fence);
}

log_level LevelOf(const send_grant& order) {
  const bool is_renewal = order.earlier_grants.last_answered.has_value();
  return is_renewal ? log_level::kDebug : log_level::kInfo;
}

}  // namespace

void LogGrantSent(const service_name& service,
                  std::uint64_t term,
                  const send_grant& order,
                  instant now) {
  log_event line(LevelOf(order), "grant sent");
  AddOrder(line, service, term, order.endpoint, order.grant.range,
           order.grant.fence);
  AddGrantTimes(line, order.earlier_grants, now);
  line.Write();
}

void LogGrantReply(const service_name& service,
                   std::uint64_t term,
                   const send_grant& order,
                   const grant_reply& reply,
                   const result<http_response>& response,
                   instant sent_at,
                   instant now) {
  const bool accepted =
      reply.verdict && *reply.verdict == grant_verdict::kAccepted;
  log_event line(accepted ? LevelOf(order) : log_level::kWarn,
                 accepted ? "grant answered" : "grant failed");
  AddOrder(line, service, term, order.endpoint, order.grant.range,
           order.grant.fence);
  line.With("took_ms", AgeMs(sent_at, now)).With("sent", reply.sent);
  if (response) {
    line.With("status", response.value().result_int());
  } else {
    line.With(response.error());
  }
  line.Write();
}

void LogReleaseSent(const service_name& service,
                    std::uint64_t term,
                    const send_release& order,
                    instant now) {
  log_event line(log_level::kInfo, "release sent");
  AddOrder(line, service, term, order.endpoint, order.release.range,
           order.release.fence);
  line.With("move", order.move);
  AddGrantTimes(line, order.earlier_grants, now);
  line.Write();
}

void LogReleaseReply(const service_name& service,
                     std::uint64_t term,
                     const send_release& order,
                     bool confirmed,
                     instant sent_at,
                     instant now) {
  log_event line(log_level::kInfo, "release answered");
  AddOrder(line, service, term, order.endpoint, order.release.range,
           order.release.fence);
  line.With("move", order.move)
      .With("confirmed", confirmed)
      .With("took_ms", AgeMs(sent_at, now));
  AddGrantTimes(line, order.earlier_grants, now);
  line.Write();
}

void LogReassignments(const service_name& service,
                      std::uint64_t term,
                      const write_key_table& written,
                      instant now) {
  for (const key_reassignment& each : written.reassignments) {
    log_event line(log_level::kInfo, "keys reassigned");
    AddOrder(line, service, term, each.to, each.range, each.fence);
    line.With("move", each.move)
        .With("from", each.from.endpoint)
        .With("reason", ToText(each.reason));
    AddAge(line, "released_ms", each.released_at, now);
    AddGrantTimes(line, each.grants, now);
    line.Write();
  }
}

}  // namespace bluebell
