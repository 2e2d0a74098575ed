#include "bluebell/runtime/decision_log.h"

#include <sstream>
#include <utility>

#include "bluebell/core/key_hash.h"
#include "bluebell/core/outcome.h"
#include "bluebell/core/overloaded.h"
#include "bluebell/http/endpoint_protocol.h"
#include "bluebell/runtime/clock.h"
#include "bluebell/telemetry/log_event.h"

namespace bluebell {

namespace {

// With two decisions per request and 5,000 requests per second on a thread,
// this covers the last 1.6 s.
constexpr std::size_t kRingCapacity = 16'384;

std::string RouteReason(const order_target& target) {
  return target.range ? "owner of the slice" : "shortest expected wait";
}

std::string OutcomeText(const request_outcome& outcome) {
  const std::string kind(ToString(KindOf(outcome)));
  return std::visit(overloaded{[&](const answer& v) {
                                 return kind + ' ' + std::to_string(v.status);
                               },
                               [&](const auto& v) {
                                 return kind + ' ' +
                                        std::string(ToString(v.reason));
                               }},
                    outcome);
}

}  // namespace

decision_log::decision_log(std::uint32_t log_one_in)
    : log_one_in_(log_one_in), ring_(kRingCapacity) {}

void decision_log::Record(const caller_request& request,
                          const route_decision& decision) {
  std::visit(overloaded{[&](const dispatch_here& v) {
                          Add(request, "dispatch", &v.target,
                              RouteReason(v.target));
                        },
                        [&](const forward_to& v) {
                          Add(request, "forward", &v.target,
                              RouteReason(v.target) + ", sent by " +
                                  v.target.endpoint.dispatcher.value());
                        },
                        [&](const wait_for_owner&) {
                          Add(request, "wait", nullptr, "the slice is moving");
                        },
                        [&](const reject_request& v) {
                          Add(request, "reject", nullptr,
                              std::string(ToString(v.why.reason)));
                        }},
             decision);
}

void decision_log::RecordOutcome(const caller_request& request,
                                 const request_outcome& outcome) {
  ring_.Add({request.id,
             WallNow(),
             request.service,
             request.priority,
             "end",
             {},
             epoch(),
             OutcomeText(outcome)});
}

void decision_log::Add(const caller_request& request,
                       std::string_view step,
                       const order_target* target,
                       std::string why) {
  decision_record record{request.id,       WallNow(),         request.service,
                         request.priority, std::string(step), {},
                         epoch(),          std::move(why)};
  if (target != nullptr) {
    record.endpoint = target->endpoint.instance;
    record.at = target->at;
  }
  if (request.id.low() % log_one_in_ == 0) {
    log_event line(log_level::kInfo, "routing decision");
    line.With("step", step)
        .With("service", record.service.value())
        .With("rank", ToString(record.priority))
        .With("request", record.request.ToString())
        .With("why", record.why);
    if (request.key) {
      line.With("key_hash", HashKey(request.service, *request.key));
    }
    if (target != nullptr) {
      line.With("endpoint", InstanceText(record.endpoint))
          .With("epoch", record.at.value());
    }
    line.Write();
  }
  ring_.Add(std::move(record));
}

}  // namespace bluebell
