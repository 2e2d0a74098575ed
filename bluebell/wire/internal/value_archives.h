// Serialization of values that have none of their own.

#ifndef BLUEBELL_WIRE_INTERNAL_VALUE_ARCHIVES_H_
#define BLUEBELL_WIRE_INTERNAL_VALUE_ARCHIVES_H_

#include <cstdint>
#include <type_traits>

#include <cereal/cereal.hpp>

#include "bluebell/control/slice_load.h"
#include "bluebell/core/request_outcome.h"
#include "bluebell/core/time.h"
#include "bluebell/dispatch/ledger_record.h"

namespace bluebell {

namespace wire_internal {

// Refuses numbers above `last`, the enumeration's highest value.
template <typename Archive, typename Enum>
void SerializeEnum(Archive& archive, Enum& value, Enum last) {
  auto number = static_cast<std::uint8_t>(value);
  archive(number);
  if (number > static_cast<std::uint8_t>(last)) {
    throw cereal::Exception("number is outside its enumeration");
  }
  value = static_cast<Enum>(number);
}

template <typename Archive, typename Duration>
void SerializeDuration(Archive& archive, Duration& value) {
  static_assert(std::is_same_v<typename Duration::rep, std::int64_t>);
  std::int64_t count = value.count();
  archive(count);
  value = Duration(count);
}

}  // namespace wire_internal

template <typename Archive>
void serialize(Archive& archive, not_run& value) {
  wire_internal::SerializeEnum(archive, value.reason,
                               not_run_reason::kShuttingDown);
  archive(value.detail);
  wire_internal::SerializeDuration(archive, value.retry_after);
}

template <typename Archive>
void serialize(Archive& archive, unknown& value) {
  wire_internal::SerializeEnum(archive, value.reason,
                               unknown_reason::kRepeatOfForgottenRequest);
  archive(value.detail);
}

template <typename Archive>
void serialize(Archive& archive, ledger_record& value) {
  archive(value.id, value.outcome);
}

template <typename Archive>
void serialize(Archive& archive, slice_load& value) {
  archive(value.service, value.first);
  wire_internal::SerializeDuration(archive, value.slot_time);
}

template <typename Archive>
void serialize(Archive& archive, key_load& value) {
  archive(value.service, value.where);
  wire_internal::SerializeDuration(archive, value.slot_time);
}

template <typename Archive>
void serialize(Archive& archive, load_report& value) {
  wire_internal::SerializeDuration(archive, value.period);
  archive(value.slices, value.hot_keys);
}

}  // namespace bluebell

#endif  // BLUEBELL_WIRE_INTERNAL_VALUE_ARCHIVES_H_
