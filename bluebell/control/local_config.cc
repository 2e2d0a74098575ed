#include "bluebell/control/local_config.h"

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

local_config::local_config() : sync_("config") {}

void local_config::ObserveVersion(config_version version) {
  highest_observed_ = std::max(highest_observed_, version);
}

bool local_config::AdoptIfNewer(std::string_view text) {
  result<fleet_config> parsed = fleet_config::Parse(text);
  if (!parsed || parsed.value().version() <= config_.version()) {
    return false;
  }
  config_ = std::move(parsed.value());
  text_ = std::string(text);
  ObserveVersion(config_.version());
  return true;
}

void local_config::HandleRead(const store_read_done& event) {
  sync_.FinishRead(event.value.has_value());
  if (!event.value) {
    return;
  }
  has_read_store_ = true;
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
    AdoptIfNewer(stored.value);
  }
  ResolveWrite(sync_.ResolveWrite(stored.version, last_change));
}

void local_config::HandleWrite(const store_write_done& event) {
  ResolveWrite(sync_.FinishWrite(event.outcome));
}

void local_config::ResolveWrite(write_resolution resolution) {
  if (pending_changes_.empty() || !pending_changes_.front().written_config) {
    return;
  }
  pending_change& current = pending_changes_.front();
  if (resolution == write_resolution::kApplied) {
    AdoptIfNewer(current.written_config->ToJson());
    const std::uint64_t version = current.written_config->version().value();
    Answer(kOk, json::serialize(json::object{{"version", version}}));
  } else if (resolution == write_resolution::kSuperseded) {
    // NextWrite applies the change to the newer document. That fails with a
    // conflict if the change is based on an older version.
    current.written_config.reset();
  }
}

void local_config::EnqueueChange(const config_change& change,
                                 std::uint64_t token) {
  pending_changes_.push_back({change, token, std::nullopt});
}

std::optional<write_store> local_config::NextWrite(const change_id& write_id,
                                                   instant now,
                                                   wall_instant wall_now) {
  if (pending_changes_.empty() || !has_read_store_) {
    return std::nullopt;
  }
  pending_change& current = pending_changes_.front();
  if (current.written_config) {
    const bool may_resend = sync_.in_doubt() && !sync_.reading() &&
                            sync_.last_answer_at() > sync_.write_sent_at();
    return may_resend ? std::optional(sync_.Resend(now)) : std::nullopt;
  }
  result<fleet_config> next = config_.Apply(current.change, write_id, wall_now);
  if (!next) {
    const bool conflict = next.error().code() == errc::kConflict;
    Answer(conflict ? kConflict : kBadRequest, ErrorJson(next.error()));
    return std::nullopt;
  }
  current.written_config = std::move(next.value());
  return sync_.StartWrite(current.written_config->ToJson(), write_id, now);
}

void local_config::Answer(unsigned status, std::string json) {
  answers_.push_back(
      {pending_changes_.front().token, {status, std::move(json)}});
  pending_changes_.pop_front();
}

std::vector<answer_operator> local_config::TakeAnswers() {
  return std::exchange(answers_, {});
}

}  // namespace bluebell
