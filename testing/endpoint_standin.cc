#include "testing/endpoint_standin.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <chrono>
#include <string_view>
#include <utility>

#include "bluebell/core/overloaded.h"

namespace bluebell {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::int64_t kNsPerMs = 1'000'000;
constexpr std::int64_t kDefaultBudgetMs = 30'000;

template <typename Number>
Number NumberOf(std::string_view text, Number otherwise, int base = 10) {
  Number parsed = 0;
  const char* end = text.data() + text.size();
  const auto outcome = std::from_chars(text.data(), end, parsed, base);
  return !text.empty() && outcome.ptr == end ? parsed : otherwise;
}

std::string_view Header(const http_request& request, const char* name) {
  const auto value = request[name];
  return {value.data(), value.size()};
}

// The value of `name` in the query of `target`, or an empty text.
std::string_view QueryValue(std::string_view target, const std::string& name) {
  for (const char* mark : {"?", "&"}) {
    const std::string prefix = mark + name + "=";
    const std::size_t at = target.find(prefix);
    if (at != std::string_view::npos) {
      const std::string_view rest = target.substr(at + prefix.size());
      return rest.substr(0, rest.find('&'));
    }
  }
  return {};
}

std::string_view Target(const http_request& request) {
  return {request.target().data(), request.target().size()};
}

endpoint_instance ParseInstanceHeader(std::string_view text) {
  const std::size_t slash = text.rfind('/');
  if (slash == std::string_view::npos) {
    return {};
  }
  return {endpoint_id(std::string(text.substr(0, slash))),
          incarnation(NumberOf<std::uint64_t>(text.substr(slash + 1), 0))};
}

endpoint_order ParseOrder(const http_request& request, std::int64_t clock_ns) {
  endpoint_order order;
  order.to = ParseInstanceHeader(Header(request, "Bluebell-Instance"));
  if (request.count("Bluebell-Slice") > 0) {
    order.slice = slice_claim{
        NumberOf<key_hash>(Header(request, "Bluebell-Slice"), 0, 16),
        epoch(NumberOf<std::uint64_t>(Header(request, "Bluebell-Epoch"), 0))};
  }
  if (request.count("Bluebell-Dispatcher-Epoch") > 0) {
    order.dispatcher_epoch = NumberOf<std::uint64_t>(
        Header(request, "Bluebell-Dispatcher-Epoch"), 0);
  }
  order.deadline_ns =
      clock_ns +
      kNsPerMs * NumberOf<std::int64_t>(Header(request, "Bluebell-Deadline-Ms"),
                                        kDefaultBudgetMs);
  return order;
}

std::int64_t HostClock() {
  return std::chrono::steady_clock::now().time_since_epoch().count();
}

}  // namespace

endpoint_standin::endpoint_standin(asio::io_context& io,
                                   const standin_options& options,
                                   std::shared_ptr<execution_log> log)
    : io_(io),
      options_(options),
      log_(std::move(log)),
      model_(options.traits, HostClock() + options.clock_offset_ns),
      random_(options.traits.self.run.value()) {}

result<std::shared_ptr<endpoint_standin>> endpoint_standin::Start(
    asio::io_context& io,
    const standin_options& options,
    std::shared_ptr<execution_log> log) {
  auto started = std::shared_ptr<endpoint_standin>(
      new endpoint_standin(io, options, std::move(log)));
  const result<bool> listening = started->Listen();
  if (!listening) {
    return listening.error();
  }
  return started;
}

result<bool> endpoint_standin::Listen() {
  auto server = http_server::Start(
      io_, options_.http,
      [self = weak_from_this()](const http_request& request,
                                const http_responder& respond) {
        if (const auto alive = self.lock()) {
          alive->OnRequest(request, respond);
        }
      });
  if (!server) {
    return server.error();
  }
  server_ = server.value();
  return true;
}

std::int64_t endpoint_standin::Clock() const {
  return HostClock() + options_.clock_offset_ns;
}

void endpoint_standin::OnRequest(const http_request& request,
                                 const http_responder& respond) {
  // Tests reach a frozen endpoint here; nobody else uses these paths.
  if (request.target() == "/bluebell/faults") {
    const auto faults = ParseEndpointFaults(request.body());
    const bool applied =
        faults.has_value() && Apply(faults.value()).has_value();
    Respond(respond, JsonResponse(applied ? 200 : 400, "{}"));
    return;
  }
  if (request.target() == "/bluebell/executions") {
    Respond(respond, JsonResponse(200, log_->ToJson(name())));
    return;
  }
  WhenAwake([this, request, respond] { Serve(request, respond); });
}

void endpoint_standin::WhenAwake(std::function<void()> work) {
  if (frozen_) {
    deferred_.push_back(std::move(work));
  } else {
    work();
  }
}

void endpoint_standin::Serve(const http_request& request,
                             const http_responder& respond) {
  if (request.target().starts_with("/bluebell/")) {
    ServeOwn(request, respond);
  } else {
    ServeOrder(request, respond);
  }
}

void endpoint_standin::ServeOwn(const http_request& request,
                                const http_responder& respond) {
  if (request.target() == "/bluebell/leases") {
    const auto leases = ParseEndpointLeases(request.body());
    if (leases) {
      Respond(respond, JsonResponse(200, ReportJson(model_.Handle(
                                             leases.value(), Clock()))));
    } else {
      Respond(respond,
              JsonResponse(400, json::serialize(json::object{
                                    {"error", leases.error().ToString()}})));
    }
  } else if (request.target() == "/bluebell/report") {
    Respond(respond, JsonResponse(200, ReportJson(model_.Report(Clock()))));
  } else if (request.target() == "/bluebell/drain") {
    model_.Drain(Clock());
    Respond(respond, JsonResponse(200, ReportJson(model_.Report(Clock()))));
  } else if (request.target() == "/bluebell/cancel") {
    ServeCancel(request, respond);
  } else {
    Respond(respond, JsonResponse(404, "{}"));
  }
}

void endpoint_standin::ServeCancel(const http_request& request,
                                   const http_responder& respond) {
  const std::string id(Header(request, "Idempotency-Key"));
  const auto has_id = [&](const auto& entry) { return entry.second.id == id; };
  const auto found = std::find_if(waiting_.begin(), waiting_.end(), has_id);
  if (found != waiting_.end() && model_.CancelQueued(found->first)) {
    const accepted_order cancelled = std::move(found->second);
    waiting_.erase(found);
    Refuse(cancelled, refusal::kExpired);
    Respond(respond, JsonResponse(200, R"({"state":"cancelled"})"));
    return;
  }
  const bool runs = std::any_of(running_.begin(), running_.end(), has_id);
  Respond(respond, JsonResponse(200, runs ? R"({"state":"running"})"
                                          : R"({"state":"unknown"})"));
}

void endpoint_standin::ServeOrder(const http_request& request,
                                  const http_responder& respond) {
  accepted_order accepted;
  accepted.order = ParseOrder(request, Clock());
  accepted.id = std::string(Header(request, "Idempotency-Key"));
  accepted.key = std::string(Header(request, "Bluebell-Key"));
  // The protocol doesn't tell the endpoint the rank; the load generator puts it
  // into the query.
  accepted.priority =
      ParseRank(QueryValue(Target(request), "rank")).value_or(rank::kNormal);
  accepted.respond = respond;
  const order_decision decision = model_.Admit(accepted.order, Clock());
  Decide(std::move(accepted), decision);
}

void endpoint_standin::Decide(accepted_order order,
                              const order_decision& decision) {
  std::visit(
      overloaded{
          [&](const run_order& run) { Run(run.ticket, std::move(order)); },
          [&](const queue_order& queued) {
            waiting_.emplace(queued.ticket, std::move(order));
          },
          [&](const refuse_order& refused) { Refuse(order, refused.reason); }},
      decision);
}

void endpoint_standin::Run(std::uint64_t ticket, accepted_order order) {
  const endpoint_instance& self = model_.traits().self;
  order.row = log_->Begin(
      {order.id, order.key, options_.service, self.endpoint.value(),
       self.run.value(), order.order.slice ? order.order.slice->at.value() : 0,
       HostClock(), 0});
  const double factor = slow_factor_ * model_.ServiceFactor(Clock());
  const duration service = options_.time.Draw(order.priority, random_);
  running_.emplace(ticket, std::move(order));
  const auto timer = std::make_shared<asio::steady_timer>(io_);
  timer->expires_after(duration(static_cast<std::int64_t>(
      static_cast<double>(service.count()) * factor)));
  timer->async_wait([self_ptr = shared_from_this(), timer, ticket,
                     run = self.run](boost::system::error_code) {
    // An order of a killed run doesn't end.
    if (self_ptr->model_.traits().self.run == run) {
      self_ptr->WhenAwake([self_ptr, ticket] { self_ptr->End(ticket); });
    }
  });
}

void endpoint_standin::End(std::uint64_t ticket) {
  const auto found = running_.find(ticket);
  if (found == running_.end()) {
    return;
  }
  const accepted_order ended = std::move(found->second);
  running_.erase(found);
  log_->End(ended.row, HostClock());
  http_response reply = JsonResponse(
      200, json::serialize(json::object{
               {"id", ended.id},
               {"key", ended.key},
               {"endpoint", name()},
               {"padding", std::string(options_.answer_bytes, 'x')}}));
  Respond(ended.respond, std::move(reply));
  for (const late_decision& late : model_.Finish(ticket, Clock())) {
    const auto waiting = waiting_.find(late.ticket);
    if (waiting != waiting_.end()) {
      accepted_order order = std::move(waiting->second);
      waiting_.erase(waiting);
      Decide(std::move(order), late.decision);
    }
  }
}

void endpoint_standin::Refuse(const accepted_order& order, refusal reason) {
  http_response reply = JsonResponse(503, "{}");
  const std::string_view text = ToString(reason);
  reply.set("Bluebell-Refused", std::string(text));
  Respond(order.respond, std::move(reply));
}

void endpoint_standin::Respond(const http_responder& respond,
                               http_response reply) const {
  const endpoint_instance& self = model_.traits().self;
  reply.set("Bluebell-Instance",
            self.endpoint.value() + "/" + std::to_string(self.run.value()));
  reply.set("Bluebell-Clock-Ns", std::to_string(Clock()));
  respond(std::move(reply));
}

std::string endpoint_standin::ReportJson(lease_reply report) const {
  if (lies_) {
    report.in_flight = 0;
    report.queued = 0;
  }
  return EndpointReplyJson(report);
}

result<bool> endpoint_standin::Apply(const endpoint_faults& faults) {
  slow_factor_ = faults.slow.value_or(slow_factor_);
  lies_ = faults.lie.value_or(lies_);
  if (faults.down.value_or(false)) {
    Kill();
  } else if (faults.down && !server_) {
    Restart();
    return Listen();
  }
  if (faults.freeze) {
    frozen_ = *faults.freeze;
    Resume();
  }
  return true;
}

void endpoint_standin::Resume() {
  if (frozen_) {
    return;
  }
  for (const auto& work : std::exchange(deferred_, {})) {
    work();
  }
}

void endpoint_standin::Kill() {
  if (server_) {
    server_->Stop();
    server_.reset();
  }
  waiting_.clear();
  running_.clear();
  deferred_.clear();
  frozen_ = false;
  endpoint_traits next = model_.traits();
  next.self.run = incarnation(next.self.run.value() + 1);
  model_ = endpoint_model(next, Clock());
}

void endpoint_standin::Restart() {
  model_ = endpoint_model(model_.traits(), Clock());
}

}  // namespace bluebell
