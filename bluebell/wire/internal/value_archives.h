// Serialization of types that don't define their own.

#ifndef BLUEBELL_WIRE_INTERNAL_VALUE_ARCHIVES_H_
#define BLUEBELL_WIRE_INTERNAL_VALUE_ARCHIVES_H_

#include <cstdint>
#include <type_traits>

#include <cereal/cereal.hpp>

#include "bluebell/core/request_outcome.h"
#include "bluebell/core/time.h"
#include "bluebell/dispatch/ledger_record.h"
#include "bluebell/membership/endpoint_status.h"
#include "bluebell/permits/permit_message.h"
#include "bluebell/placement/slice_load.h"
#include "bluebell/store/host_entry.h"
#include "bluebell/wire/internal/bounded_archive.h"

namespace bluebell {

namespace wire_internal {

template <>
struct last_enumerator<not_run_reason> {
  static constexpr not_run_reason kValue = not_run_reason::kShuttingDown;
};

template <>
struct last_enumerator<unknown_reason> {
  static constexpr unknown_reason kValue =
      unknown_reason::kRepeatOfForgottenRequest;
};

template <>
struct last_enumerator<host_role> {
  static constexpr host_role kValue = host_role::kEndpoint;
};

template <>
struct last_enumerator<host_state> {
  static constexpr host_state kValue = host_state::kLeaving;
};

template <>
struct last_enumerator<endpoint_condition> {
  static constexpr endpoint_condition kValue = endpoint_condition::kLost;
};

template <>
struct last_enumerator<permit_refusal> {
  static constexpr permit_refusal kValue = permit_refusal::kOwnerUnavailable;
};

template <>
struct last_enumerator<permit_outcome> {
  static constexpr permit_outcome kValue = permit_outcome::kUnused;
};

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
  archive(value.reason, value.detail);
  wire_internal::SerializeDuration(archive, value.retry_after);
}

template <typename Archive>
void serialize(Archive& archive, unknown& value) {
  archive(value.reason, value.detail);
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
  archive(value.service, value.hash);
  wire_internal::SerializeDuration(archive, value.slot_time);
}

template <typename Archive>
void serialize(Archive& archive, load_report& value) {
  wire_internal::SerializeDuration(archive, value.period);
  archive(value.slices, value.hot_keys);
}

}  // namespace bluebell

#endif  // BLUEBELL_WIRE_INTERNAL_VALUE_ARCHIVES_H_
