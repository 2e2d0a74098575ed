#include "testing/gateway/soak_endpoint.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "bluebell/core/boot_clock.h"
#include "testing/header_text.h"
#include "testing/run_after.h"

namespace bluebell {

namespace {

namespace bhttp = boost::beast::http;
namespace json = boost::json;

constexpr unsigned kHttp11 = 11;
constexpr unsigned kOk = 200;
constexpr unsigned kConflict = 409;
constexpr unsigned kMisdirected = 421;
constexpr unsigned kServerError = 500;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;
constexpr double kMillisPerSecond = 1'000;
// The term of a grant runs from its arrival, by a clock that is up to 2% slow.
constexpr double kSlowestClock = 1.02;
// After its announcement an endpoint may be sent requests for this long.
constexpr milliseconds kDrainTime{2'000};
constexpr double kLateShare = 0.5;
constexpr int kMostWorkAfterCloseMs = 300;
constexpr double kRepeatedShare = 0.3;

}  // namespace

soak_endpoint::soak_endpoint(boost::asio::io_context& io,
                             soak_endpoint_options options,
                             key_holders& holders,
                             soak_record& record,
                             std::uint64_t seed)
    : io_(io),
      options_(std::move(options)),
      holders_(holders),
      record_(record),
      random_(seed) {}

result<bool> soak_endpoint::Start() {
  http_server_options server;
  server.listen = options_.listen;
  auto started = http_server::Start(
      io_, server,
      [weak = weak_from_this()](const http_request& request,
                                const http_responder& respond) {
        if (const auto self = weak.lock()) {
          self->Serve(request, respond);
        }
      });
  if (!started) {
    return started.error();
  }
  server_ = std::move(started).value();
  server_->SetResponseFaults([this] { return ChooseResponseFault(); });
  server_->SetConnectionLimit([this, most = server.max_connections] {
    const auto* limited = FaultInForce<limit_connections>();
    return limited != nullptr ? limited->most : most;
  });
  if (options_.closes == close_rule::kEndsWorkLate) {
    server_->SetCloseHandler(
        [weak = weak_from_this()](const http_request& request) {
          if (const auto self = weak.lock()) {
            self->OnCallerClosed(request);
          }
        });
  }
  ++life_;
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  const auto now = static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(since_epoch).count());
  born_ = std::max(born_ + 1, now);
  sequence_ = 0;
  draining_ = false;
  writes_entry_ = true;
  announced_.reset();
  return true;
}

void soak_endpoint::Kill() {
  if (!running()) {
    return;
  }
  holders_.Forget(ProcessName());
  server_->Stop();
  server_.reset();
  running_.clear();
  waiting_.clear();
  releases_.clear();
  ++life_;
}

std::string soak_endpoint::ProcessName() const {
  return options_.id + "/" + std::to_string(life_);
}

std::string soak_endpoint::EntryKey() const {
  return "servers/" + options_.id;
}

std::string soak_endpoint::Entry() {
  return json::serialize(json::object{
      {"Address", options_.shown.ToString()},
      {"born", born_},
      {"Information", json::object{{"Service", options_.service},
                                   {"Zone", options_.domain},
                                   {"Version", "1"},
                                   {"Slots", options_.slots}}},
      {"Status", json::object{{"State", draining_ ? "draining" : "ready"},
                              {"Sequence", ++sequence_},
                              {"WarmupRemainingS", 0}}}});
}

http_response soak_endpoint::NotRun(unsigned status) const {
  http_response response(bhttp::int_to_status(status), kHttp11);
  response.set("X-Not-Executed", "1");
  response.set("X-Instance-Id", options_.id);
  return response;
}

http_response soak_endpoint::NotRunNamed(unsigned status,
                                         const http_request& request) const {
  http_response response = NotRun(status);
  response.set("X-Attempt-Id", HeaderText(request, "X-Attempt-Id"));
  return response;
}

template <typename Fault>
const Fault* soak_endpoint::FaultInForce() const {
  return BootNow() < faulty_until_ ? std::get_if<Fault>(&fault_) : nullptr;
}

template <typename Fault>
const Fault* soak_endpoint::FaultNow() {
  const auto* fault = FaultInForce<Fault>();
  const bool applies =
      fault != nullptr && std::bernoulli_distribution(fault->share)(random_);
  return applies ? fault : nullptr;
}

response_fault soak_endpoint::ChooseResponseFault() {
  if (BootNow() < repeats_until_ &&
      std::bernoulli_distribution(kRepeatedShare)(random_)) {
    return repeat_previous();
  }
  if (const auto* spoiled = FaultNow<spoil_responses>()) {
    return spoiled->kinds.at(random_() % spoiled->kinds.size());
  }
  return send_unchanged();
}

void soak_endpoint::After(milliseconds delay, std::function<void()> what) {
  RunAfter(io_, delay,
           [what = std::move(what), life = life_, weak = weak_from_this()] {
             const auto self = weak.lock();
             if (self && self->life_ == life) {
               what();
             }
           });
}

void soak_endpoint::Serve(const http_request& request,
                          const http_responder& respond) {
  const std::string target(request.target());
  const std::string expected = HeaderText(request, "X-Expected-Instance");
  if (!expected.empty() && expected != options_.id) {
    respond(NotRun(kMisdirected));
  } else if (target == "/grant" || target == "/release") {
    TakeOrder(request, respond);
  } else if (target == "/health") {
    http_response response(
        draining_ ? bhttp::status::service_unavailable : bhttp::status::ok,
        kHttp11);
    response.set("X-Instance-Id", options_.id);
    respond(response);
  } else {
    const std::string key = HeaderText(request, "X-Shard-Key");
    std::optional<shard_key> read;
    if (options_.keyed) {
      read = static_cast<shard_key>(std::stoul(key.empty() ? "0" : key));
    }
    const std::string limit_ms = HeaderText(request, "X-Deadline-Ms");
    const instant limit = limit_ms.empty()
                              ? instant::max()
                              : BootNow() + milliseconds(std::stoll(limit_ms));
    TakeWork({request, respond, read, limit});
  }
}

void soak_endpoint::TakeOrder(const http_request& request,
                              const http_responder& respond) {
  const instant arrived = BootNow();
  on_order_();
  if (arrived < late_until_ &&
      std::bernoulli_distribution(kLateShare)(random_)) {
    const milliseconds delay(
        std::uniform_int_distribution<int>(300, 8'000)(random_));
    After(delay, [this, request, arrived] {
      CarryOut(
          request, [](const http_response& /*unsent*/) {},
          grant_timing::kTakenLate, arrived);
    });
    return;
  }
  CarryOut(
      request, respond,
      arrived < excused_until_ ? grant_timing::kHeldUp : grant_timing::kPrompt,
      arrived);
}

void soak_endpoint::CarryOut(const http_request& request,
                             const http_responder& respond,
                             grant_timing timing,
                             instant arrived) {
  const instant now = BootNow();
  const json::value body = json::parse(request.body());
  const key_range range{body.at("From").to_number<shard_key>(),
                        body.at("Target").to_number<shard_key>()};
  if (request.target() == "/release") {
    const bool held = holders_.HoldsAnyOf(ProcessName(), range, now);
    holders_.Release(ProcessName(), range, now);
    if (!held && options_.releases == release_rule::kWaitsWhileHeld) {
      Confirm(respond);
      return;
    }
    releases_.push_back({range, respond});
    AnswerReleases();
    return;
  }
  const std::chrono::duration<double, std::milli> hold(
      body.at("HoldS").to_number<double>() * kMillisPerSecond);
  const taken_grant grant{
      range, body.at("fence").to_number<std::uint64_t>(),
      arrived + std::chrono::duration_cast<duration>(hold * options_.clock),
      arrived + std::chrono::duration_cast<duration>(hold * kSlowestClock),
      timing};
  const bool taken = holders_.Grant(ProcessName(), grant, now);
  if (taken && timing == grant_timing::kPrompt) {
    record_.handovers.push_back({options_.id, range, now});
  }
  respond(JsonResponse(taken ? kOk : kConflict, "{}"));
}

void soak_endpoint::Confirm(const http_responder& respond) {
  http_response response(bhttp::status::ok, kHttp11);
  response.set("X-Handover", "h" + std::to_string(random_()));
  respond(response);
}

void soak_endpoint::AnswerReleases() {
  std::erase_if(releases_, [this](const waiting_release& each) {
    const bool busy =
        std::any_of(running_.begin(), running_.end(), [&](const auto& entry) {
          const running_work& running = entry.second;
          return running.task.key && !running.caller_closed &&
                 each.range.Contains(*running.task.key);
        });
    if (!busy) {
      Confirm(each.respond);
    }
    return !busy;
  });
}

void soak_endpoint::TakeWork(work taken) {
  const instant now = BootNow();
  const std::string id = HeaderText(taken.request, "X-Attempt-Id");
  if (taken.key && !holders_.Holds(ProcessName(), *taken.key, now)) {
    taken.respond(NotRun(kMisdirected));
    return;
  }
  if (announced_ && now > *announced_ + kDrainTime) {
    record_.late_arrivals.push_back({id, options_.id, *announced_, now});
  }
  if (const auto* away = FaultNow<turn_work_away>()) {
    taken.respond(away->names_attempt ? NotRunNamed(away->status, taken.request)
                                      : NotRun(away->status));
  } else if (running_.size() < options_.slots) {
    StartWork(taken);
  } else if (waiting_.size() < options_.slots) {
    waiting_.push_back(std::move(taken));
  } else if (const auto* slow = FaultInForce<slow_work>()) {
    if (slow->rejects_when_full) {
      taken.respond(NotRunNamed(kUnavailable, taken.request));
    }
  } else {
    taken.respond(NotRun(kUnavailable));
  }
}

void soak_endpoint::StartWork(const work& started) {
  const std::uint64_t number = ++works_;
  const std::string id = HeaderText(started.request, "X-Attempt-Id");
  const std::string signature = ProcessName() + "." + std::to_string(random_());
  milliseconds length(std::uniform_int_distribution<int>(5, 60)(random_));
  if (const auto* slow = FaultNow<slow_work>()) {
    length = milliseconds(std::uniform_int_distribution<std::int64_t>(
        0, slow->longest.count())(random_));
  }
  const instant now = BootNow();
  const auto time_left =
      std::chrono::duration_cast<milliseconds>(started.limit - now);
  running_[number] = {started, record_.executions.size(), time_left < length};
  if (started.key) {
    holders_.BeginWork(ProcessName(), number, *started.key);
  }
  record_.executions.push_back({id, options_.id, options_.service, now,
                                std::nullopt, 0, signature,
                                "body of " + signature, started.key, life_});
  After(std::min(length, time_left), [this, number] {
    const auto found = running_.find(number);
    if (found != running_.end() && !found->second.caller_closed) {
      FinishWork(number);
    }
  });
}

void soak_endpoint::OnCallerClosed(const http_request& request) {
  const std::string id = HeaderText(request, "X-Attempt-Id");
  for (auto& [number, running] : running_) {
    if (!running.caller_closed &&
        HeaderText(running.task.request, "X-Attempt-Id") == id) {
      running.caller_closed = true;
      const milliseconds goes_on(std::uniform_int_distribution<int>(
          0, kMostWorkAfterCloseMs)(random_));
      After(goes_on, [this, number = number] { FinishWork(number); });
    }
  }
  AnswerReleases();
}

void soak_endpoint::FinishWork(std::uint64_t number) {
  const running_work ended = running_.at(number);
  const std::optional<shard_key>& key = ended.task.key;
  running_.erase(number);
  holders_.EndWork(ProcessName(), number);
  request_execution& row = record_.executions[ended.row];
  const instant now = BootNow();
  const bool held = !key || holders_.Holds(ProcessName(), *key, now) ||
                    std::any_of(releases_.begin(), releases_.end(),
                                [&](const waiting_release& each) {
                                  return each.range.Contains(*key);
                                });
  row.status = !held                 ? kServerError
               : ended.ends_at_limit ? kGatewayTimeout
                                     : kOk;
  if (const auto* failing = FaultNow<fail_work>()) {
    row.status = failing->statuses.at(random_() % failing->statuses.size());
  }
  row.answered = now;
  http_response response(bhttp::int_to_status(row.status), kHttp11);
  response.set("X-Attempt-Id", row.id);
  response.set("X-Server-Signature", row.signature);
  response.set("X-Instance-Id", options_.id);
  response.set("X-Server-Load", std::to_string(running_.size()) + "," +
                                    std::to_string(waiting_.size()) + "," +
                                    std::to_string(options_.slots));
  response.body() = row.body;
  ended.task.respond(response);
  AnswerReleases();
  StartWaiting(now);
}

void soak_endpoint::StartWaiting(instant now) {
  while (!waiting_.empty() && running_.size() < options_.slots) {
    const work next = std::move(waiting_.front());
    waiting_.pop_front();
    if (next.key && !holders_.Holds(ProcessName(), *next.key, now)) {
      next.respond(NotRun(kMisdirected));
    } else if (next.limit <= now) {
      next.respond(NotRunNamed(kUnavailable, next.request));
    } else {
      StartWork(next);
    }
  }
}

}  // namespace bluebell
