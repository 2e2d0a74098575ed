#include "testing/load_run.h"

#include <algorithm>
#include <boost/asio/error.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/verb.hpp>
#include <chrono>
#include <deque>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "bluebell/core/request_id.h"
#include "testing/load_connection.h"

namespace bluebell {

namespace {

namespace asio = boost::asio;
namespace bhttp = boost::beast::http;
using clock_source = std::chrono::steady_clock;

constexpr unsigned kHttp11 = 11;
constexpr milliseconds kGrace{2'000};

struct pending_request {
  load_record record;
  std::size_t target = 0;
  bool repeated = false;
};

using shared_request = std::shared_ptr<pending_request>;

// The connections to one target and the requests that wait for one.
struct target_pool {
  std::vector<std::shared_ptr<load_connection>> idle;
  std::deque<shared_request> waiting;
  std::size_t open = 0;
};

struct due_request {
  duration at{0};
  std::size_t stream = 0;

  friend bool operator>(const due_request& a, const due_request& b) {
    return a.at > b.at;
  }
};

class load_run {
 public:
  explicit load_run(const load_plan& plan)
      : plan_(plan),
        timer_(io_),
        random_(plan.seed),
        pools_(plan.targets.size()) {
    for (std::size_t index = 0; index < plan.streams.size(); ++index) {
      const load_stream& stream = plan.streams[index];
      keys_.emplace_back(stream.keys, plan.seed + index);
      due_.push({stream.from, index});
    }
  }

  load_report Run() {
    started_at_ = clock_source::now();
    Schedule();
    io_.run();
    return std::move(report_);
  }

 private:
  duration Now() const { return clock_source::now() - started_at_; }

  void Schedule() {
    while (!due_.empty() && due_.top().at <= Now()) {
      SendDue();
    }
    if (due_.empty()) {
      return;
    }
    timer_.expires_at(started_at_ + due_.top().at);
    timer_.async_wait([this](boost::system::error_code) { Schedule(); });
  }

  void SendDue() {
    const due_request next = due_.top();
    due_.pop();
    const load_stream& stream = plan_.streams[next.stream];
    const duration end = stream.until.count() > 0 ? stream.until : plan_.length;
    if (next.at >= end || sent_ >= plan_.max_requests) {
      return;
    }
    const std::chrono::duration<double> gap(
        std::exponential_distribution(stream.rate)(random_));
    due_.push(
        {next.at + std::chrono::duration_cast<duration>(gap), next.stream});
    Submit(MakeRequest(next));
  }

  shared_request MakeRequest(const due_request& due) {
    auto request = std::make_shared<pending_request>();
    request->record.stream = due.stream;
    request->record.id = request_id::Make(std::chrono::system_clock::now(),
                                          {random_(), random_()})
                             .ToString();
    if (plan_.streams[due.stream].keyed) {
      request->record.key = keys_[due.stream].Next(due.at);
    }
    request->record.intended = due.at;
    request->target = sent_ % plan_.targets.size();
    ++sent_;
    return request;
  }

  void Submit(const shared_request& request) {
    target_pool& pool = pools_[request->target];
    while (!pool.idle.empty()) {
      const auto connection = pool.idle.back();
      pool.idle.pop_back();
      if (connection->IsOpen()) {
        Send(request, connection);
        return;
      }
      --pool.open;
    }
    if (pool.open >= plan_.max_connections_per_target) {
      pool.waiting.push_back(request);
      return;
    }
    ++pool.open;
    Send(request, std::make_shared<load_connection>(
                      io_, plan_.targets[request->target]));
  }

  void Send(const shared_request& request,
            const std::shared_ptr<load_connection>& connection) {
    const load_stream& stream = plan_.streams[request->record.stream];
    const duration limit =
        request->record.intended + stream.deadline + kGrace - Now();
    connection->Send(Message(*request, stream),
                     std::max<duration>(limit, milliseconds(1)),
                     [this, request, connection](const load_exchange& ended) {
                       OnEnd(request, connection, ended);
                     });
  }

  http_request Message(const pending_request& request,
                       const load_stream& stream) const {
    const std::string service = plan_.direct ? "" : "/v1/" + stream.service;
    const std::string rank_name(ToString(stream.priority));
    http_request message(
        stream.idempotent ? bhttp::verb::get : bhttp::verb::post,
        service + "/item?rank=" + rank_name, kHttp11);
    message.set(bhttp::field::host, plan_.targets[request.target].ToString());
    if (stream.keyed) {
      message.set("Bluebell-Key", request.record.key);
    }
    message.set("Bluebell-Rank", rank_name);
    message.set("Bluebell-Deadline-Ms",
                std::to_string(stream.deadline.count()));
    message.set("Bluebell-Idempotent", stream.idempotent ? "true" : "false");
    message.set("Idempotency-Key", request.record.id);
    message.set("Bluebell-Caller",
                stream.name + "-" + std::to_string(sent_ % stream.callers));
    if (!stream.idempotent) {
      message.body() = request.record.id;
    }
    message.prepare_payload();
    return message;
  }

  void OnEnd(const shared_request& request,
             const std::shared_ptr<load_connection>& connection,
             const load_exchange& ended) {
    target_pool& pool = pools_[request->target];
    if (connection->IsOpen()) {
      pool.idle.push_back(connection);
    } else {
      --pool.open;
    }
    if (ended.failure && plan_.repeat_lost && !request->repeated &&
        ended.failure != boost::beast::error::timeout) {
      request->repeated = true;
      request->target = (request->target + 1) % plan_.targets.size();
      Submit(request);
    } else {
      Note(request->record, ended);
    }
    if (!pool.waiting.empty()) {
      const shared_request next = pool.waiting.front();
      pool.waiting.pop_front();
      Submit(next);
    }
  }

  void Note(load_record& record, const load_exchange& ended) {
    record.ended = Now();
    if (ended.failure) {
      record.reason = ended.failure.message();
    } else {
      record.status = ended.response.result_int();
      record.outcome = Classify(record, ended.response);
      record.reason = std::string(ended.response["Bluebell-Reason"]);
    }
    report_.records.push_back(record);
  }

  load_outcome Classify(const load_record& record,
                        const http_response& response) const {
    const auto says = response["Bluebell-Outcome"];
    if (says == "not_run" || response.count("Bluebell-Refused") > 0) {
      return load_outcome::kNotRun;
    }
    if (says == "unknown") {
      return load_outcome::kUnknown;
    }
    const bool own = response.body().find(record.id) != std::string::npos;
    return own && (plan_.direct || says == "answer")
               ? load_outcome::kAnswer
               : load_outcome::kForeignReply;
  }

  const load_plan& plan_;
  asio::io_context io_;
  asio::steady_timer timer_;
  std::mt19937_64 random_;
  std::vector<target_pool> pools_;
  std::vector<key_source> keys_;
  std::priority_queue<due_request, std::vector<due_request>, std::greater<>>
      due_;
  clock_source::time_point started_at_;
  std::uint64_t sent_ = 0;
  load_report report_;
};

}  // namespace

load_report RunLoad(const load_plan& plan) {
  return load_run(plan).Run();
}

}  // namespace bluebell
