#include "bluebell/control/value_sync.h"

#include <utility>

#include "bluebell/core/overloaded.h"

namespace bluebell {

value_sync::value_sync(std::string key) : key_(std::move(key)) {}

read_store value_sync::StartRead(instant now) {
  read_sent_at_ = now;
  last_read_at_ = now;
  return {key_};
}

instant value_sync::FinishRead(bool answered) {
  const instant sent_at = read_sent_at_.value_or(instant::min());
  read_sent_at_.reset();
  if (answered) {
    last_answer_at_ = sent_at;
  }
  return sent_at;
}

write_resolution value_sync::ResolveWrite(store_version stored,
                                          const change_id& last_change) {
  const bool advanced = stored > stored_version_;
  if (advanced) {
    stored_version_ = stored;
  }
  if (!in_doubt()) {
    return write_resolution::kNoWrite;
  }
  if (write_->change == last_change) {
    write_.reset();
    return write_resolution::kApplied;
  }
  if (stored > write_->expected) {
    write_.reset();
    return write_resolution::kSuperseded;
  }
  return write_resolution::kUnresolved;
}

write_store value_sync::StartWrite(std::string value,
                                   const change_id& change,
                                   instant now) {
  write_ = write_store{key_, std::move(value), stored_version_, change};
  write_in_flight_ = true;
  write_sent_at_ = now;
  return *write_;
}

write_resolution value_sync::FinishWrite(const write_result& outcome) {
  write_in_flight_ = false;
  return std::visit(
      overloaded{
          [&](const write_applied& applied) {
            stored_version_ = applied.version;
            last_answer_at_ = write_sent_at_;
            write_.reset();
            return write_resolution::kApplied;
          },
          // A write that was sent again can conflict with its own first
          // call, so a conflict is also resolved by reading back.
          [](const write_conflict&) { return write_resolution::kUnresolved; },
          [](const write_in_doubt&) { return write_resolution::kUnresolved; }},
      outcome);
}

write_store value_sync::Resend(instant now) {
  write_in_flight_ = true;
  write_sent_at_ = now;
  return *write_;
}

}  // namespace bluebell
