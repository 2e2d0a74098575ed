#include "review/standins/upstream.h"

#include <algorithm>
#include <thread>
#include <utility>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace review {

namespace {

namespace json = boost::json;

constexpr milliseconds kHeartbeat{870};
// How often a running request checks whether it has to stop.
constexpr milliseconds kRunCheck{5};
constexpr std::int64_t kDefaultTimeLimitMs = 60'000;

std::string Describe(const key_order& order) {
  return "keys " + std::to_string(order.first) + " to " +
         std::to_string(order.last) + ", fence " + std::to_string(order.fence);
}

}  // namespace

key_order key_order::Read(const std::string& body) {
  constexpr double kMillisPerSecond = 1'000;
  const json::value root = json::parse(body);
  key_order order;
  order.first = root.at("From").to_number<std::uint32_t>();
  order.last = root.at("Target").to_number<std::uint32_t>();
  order.fence = root.at("fence").to_number<std::uint64_t>();
  if (const json::value* hold = root.as_object().if_contains("HoldS")) {
    order.hold = milliseconds(static_cast<std::int64_t>(
        hold->to_number<double>() * kMillisPerSecond));
  }
  return order;
}

upstream::upstream(upstream_options options,
                   store& platform,
                   run_record& record)
    : options_(std::move(options)),
      platform_(platform),
      record_(record),
      born_(UnixMillis()),
      keys_(kKeys),
      server_([this](const http_message& request, connection& link) {
        return Serve(request, link);
      }) {}

void upstream::Start() {
  WriteEntry();
  std::thread([this] {
    while (true) {
      Sleep(kHeartbeat);
      WriteEntry();
    }
  }).detach();
}

void upstream::Drain() {
  draining_ = true;
  WriteEntry();
  record_.Add(id() + " is draining");
}

void upstream::WriteEntry() {
  platform_.Put(
      "servers/" + options_.id,
      json::serialize(json::object{
          {"Address", "127.0.0.1:" + std::to_string(port())},
          {"born", born_},
          {"Information", json::object{{"Service", options_.service},
                                       {"Version", "v1"},
                                       {"Zone", options_.zone},
                                       {"Slots", options_.slots}}},
          {"Status", json::object{{"State", draining_ ? "draining" : "ready"},
                                  {"Sequence", ++sequence_},
                                  {"WarmupRemainingS", 0}}}}));
}

bool upstream::Holds(std::uint32_t key) {
  const std::lock_guard lock(mutex_);
  return Now() < keys_[key].held_until;
}

std::vector<std::uint32_t> upstream::BusyKeys(std::uint32_t first,
                                              std::uint32_t last) {
  const std::lock_guard lock(mutex_);
  std::vector<std::uint32_t> busy;
  for (std::uint32_t key = first; key <= last; ++key) {
    if (keys_[key].running > 0 && Now() < keys_[key].granted_until) {
      busy.push_back(key);
    }
  }
  return busy;
}

std::vector<request_run> upstream::Runs() {
  const std::lock_guard lock(mutex_);
  return runs_;
}

bool upstream::Serve(const http_message& request, connection& link) {
  std::optional<answered_call> previous;
  {
    const std::lock_guard lock(mutex_);
    if (const auto found = previous_.find(&link); found != previous_.end()) {
      previous = found->second;
    }
  }
  if (previous && repeats_previous(request, *previous)) {
    record_.Add(id() + " sends a further copy of its answer to " +
                previous->request.start_line + " " +
                previous->request.HeaderOr("X-Attempt-Id", "") + ", " +
                previous->response.start_line + ", when " + request.start_line +
                " " + request.HeaderOr("X-Attempt-Id", "") + " has arrived");
    link.Write(Encode(previous->response));
  }
  const http_message response = Answer(request, link);
  const bool written =
      !response.start_line.empty() && link.Write(Encode(response));
  on_answer();
  const std::lock_guard lock(mutex_);
  if (written) {
    previous_.insert_or_assign(&link, answered_call{request, response});
  } else {
    previous_.erase(&link);
  }
  return written;
}

http_message upstream::Answer(const http_message& request, connection& link) {
  if (request.HeaderOr("X-Expected-Instance", options_.id) != options_.id) {
    return NotRun(421, request);
  }
  if (request.target() == "/grant") {
    return Grant(request);
  }
  if (request.target() == "/release") {
    return Release(request);
  }
  if (request.target() == "/health") {
    http_message response = Response(draining_ ? 503 : 200);
    response.headers.push_back({"X-Instance-Id", options_.id});
    return response;
  }
  return Run(request, link);
}

http_message upstream::Grant(const http_message& request) {
  const key_order order = key_order::Read(request.body);
  const instant now = Now();
  bool refused = false;
  bool is_new = false;
  {
    const std::lock_guard lock(mutex_);
    for (std::uint32_t key = order.first; key <= order.last; ++key) {
      refused = refused || keys_[key].seen_fence > order.fence;
      is_new = is_new || keys_[key].held_until <= now;
    }
    for (std::uint32_t key = order.first; !refused && key <= order.last;
         ++key) {
      keys_[key].seen_fence = order.fence;
      keys_[key].held_until = now + order.hold;
      keys_[key].granted_until = now + order.hold;
    }
  }
  if (is_new || refused) {
    record_.Add(id() + " is granted " + Describe(order) + ", for " +
                std::to_string(order.hold.count()) + " ms" +
                (refused ? ": refused" : ""));
  }
  if (refused) {
    return Response(409);
  }
  if (is_new) {
    on_granted(order.first, order.last);
  }
  return Response(200);
}

http_message upstream::Release(const http_message& request) {
  const key_order order = key_order::Read(request.body);
  record_.Add(id() + " is to release " + Describe(order));
  std::unique_lock lock(mutex_);
  for (std::uint32_t key = order.first; key <= order.last; ++key) {
    keys_[key].held_until = instant();
  }
  changed_.wait(lock, [&] {
    for (std::uint32_t key = order.first; key <= order.last; ++key) {
      if (keys_[key].running > 0) {
        return false;
      }
    }
    return true;
  });
  http_message response = Response(200);
  response.headers.push_back(
      {"X-Handover", options_.id + "-" + std::to_string(++handovers_)});
  lock.unlock();
  record_.Add(id() + " answers the release of " + Describe(order));
  return response;
}

http_message upstream::NotRun(int status, const http_message& request) const {
  http_message response = Response(status);
  response.headers.push_back({"X-Not-Executed", "1"});
  response.headers.push_back({"X-Instance-Id", options_.id});
  const auto attempt = request.Header("X-Attempt-Id");
  if (attempt && options_.echoes_when_turning_away) {
    response.headers.push_back({"X-Attempt-Id", *attempt});
  }
  return response;
}

http_message upstream::Run(const http_message& request, connection& link) {
  const std::string attempt = request.HeaderOr("X-Attempt-Id", "");
  const instant deadline =
      Now() + milliseconds(ParseNumber(request.HeaderOr("X-Deadline-Ms", ""))
                               .value_or(kDefaultTimeLimitMs));
  std::optional<std::uint32_t> key;
  const auto stated_key = ParseNumber(request.HeaderOr("X-Shard-Key", ""));
  if (options_.keyed && stated_key && *stated_key < kKeys) {
    key = static_cast<std::uint32_t>(*stated_key);
  }
  const auto turn_away = [&](int status) {
    record_.Add(id() + " turns " + attempt + " away with " +
                std::to_string(status) + ", not run");
    return NotRun(status, request);
  };
  if (sheds(request)) {
    return turn_away(503);
  }
  std::unique_lock lock(mutex_);
  const auto lacks_key = [&] {
    return options_.keyed && (!key || keys_[*key].held_until <= Now());
  };
  if (lacks_key()) {
    return turn_away(421);
  }
  if (running_ >= options_.slots && waiting_ >= options_.queue) {
    return turn_away(503);
  }
  ++waiting_;
  const bool has_slot = changed_.wait_until(
      lock, deadline, [&] { return running_ < options_.slots; });
  --waiting_;
  if (!has_slot) {
    return turn_away(503);
  }
  if (lacks_key()) {
    return turn_away(421);
  }
  ++running_;
  if (key) {
    ++keys_[*key].running;
  }
  const std::size_t row = runs_.size();
  runs_.push_back({attempt, options_.id, key, Now(), std::nullopt});
  lock.unlock();
  record_.Add(id() + " runs " + attempt);
  const instant done_at = Now() + work_time(request);
  int status = 200;
  while (Now() < done_at && status == 200) {
    Sleep(std::min(kRunCheck,
                   std::chrono::duration_cast<milliseconds>(done_at - Now()) +
                       milliseconds(1)));
    if (link.PeerHasClosed()) {
      status = 0;
    } else if (Now() >= deadline) {
      status = 504;
    }
  }
  lock.lock();
  if (key && status == 200 && keys_[*key].granted_until <= Now()) {
    status = 500;
  }
  --running_;
  if (key) {
    --keys_[*key].running;
  }
  runs_[row].ended = Now();
  changed_.notify_all();
  lock.unlock();
  record_.Add(id() + (status == 0 ? " drops " : " has run ") + attempt +
              (status == 0 ? "" : ": " + std::to_string(status)));
  if (status == 0) {
    return {};
  }
  http_message response =
      Response(status, status == 200 ? "result of " + attempt : "");
  response.headers.push_back({"X-Attempt-Id", attempt});
  response.headers.push_back(
      {"X-Server-Signature", options_.id + "." + std::to_string(row)});
  return response;
}

}  // namespace review
