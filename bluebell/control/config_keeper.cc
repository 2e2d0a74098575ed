#include "bluebell/control/config_keeper.h"

#include <algorithm>
#include <utility>

#include <boost/json.hpp>

#include "bluebell/core/error.h"

namespace bluebell {

namespace json = boost::json;

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kConflict = 409;

std::string ErrorJson(const error& failure) {
  return json::serialize(json::object{
      {"error", failure.code().message()},
      {"step", ToString(failure.at())},
      {"peer", failure.peer()},
      {"detail", failure.detail()},
  });
}

}  // namespace

config_keeper::config_keeper() : sync_("config") {}

void config_keeper::Hear(config_version version) {
  heard_ = std::max(heard_, version);
}

bool config_keeper::Take(std::string_view text) {
  result<fleet_config> parsed = fleet_config::Parse(text);
  if (!parsed || parsed.value().version() <= config_.version()) {
    return false;
  }
  config_ = std::move(parsed.value());
  text_ = std::string(text);
  Hear(config_.version());
  return true;
}

void config_keeper::HandleRead(const store_read_done& event) {
  sync_.FinishRead(event.value.has_value());
  if (!event.value) {
    return;
  }
  read_once_ = true;
  const store_value& stored = event.value.value();
  change_id last_change;
  if (stored.version != store_version() && stored.value == text_) {
    // The common case: the value is unchanged and need not be parsed.
    last_change = config_.last_change();
  } else if (stored.version != store_version()) {
    const result<fleet_config> parsed = fleet_config::Parse(stored.value);
    if (!parsed) {
      return;
    }
    last_change = parsed.value().last_change();
    Take(stored.value);
  }
  Settle(sync_.Settle(stored.version, last_change));
}

void config_keeper::HandleWrite(const store_write_done& event) {
  Settle(sync_.FinishWrite(event.outcome));
}

void config_keeper::Settle(write_fate fate) {
  if (requests_.empty() || !requests_.front().written) {
    return;
  }
  request& current = requests_.front();
  if (fate == write_fate::kApplied) {
    Take(current.written->ToJson());
    const std::uint64_t version = current.written->version().value();
    Answer(kOk, json::serialize(json::object{{"version", version}}));
  } else if (fate == write_fate::kOvertaken) {
    // NextWrite applies the change to the newer document. That fails with a
    // conflict if the change is based on an older version.
    current.written.reset();
  }
}

void config_keeper::Ask(const config_change& change, std::uint64_t token) {
  requests_.push_back({change, token, std::nullopt});
}

std::optional<write_store> config_keeper::NextWrite(
    const change_id& change_name,
    instant now,
    wall_instant wall_now) {
  if (requests_.empty() || !read_once_) {
    return std::nullopt;
  }
  request& current = requests_.front();
  if (current.written) {
    const bool may_resend = sync_.in_doubt() && !sync_.reading() &&
                            sync_.last_answer_at() > sync_.write_sent_at();
    return may_resend ? std::optional(sync_.Resend(now)) : std::nullopt;
  }
  result<fleet_config> next =
      config_.Apply(current.change, change_name, wall_now);
  if (!next) {
    const bool conflict = next.error().code() == errc::kConflict;
    Answer(conflict ? kConflict : kBadRequest, ErrorJson(next.error()));
    return std::nullopt;
  }
  current.written = std::move(next.value());
  return sync_.StartWrite(current.written->ToJson(), change_name, now);
}

void config_keeper::Answer(unsigned status, std::string json) {
  answers_.push_back({requests_.front().token, {status, std::move(json)}});
  requests_.pop_front();
}

std::vector<answer_operator> config_keeper::TakeAnswers() {
  return std::exchange(answers_, {});
}

}  // namespace bluebell
