// Names and numbers that identify hosts, endpoints, services and versions.
//
//   endpoint_instance owner{endpoint_id("lk-west-a-tracker-1"),
//                           incarnation(7)};

#ifndef BLUEBELL_CORE_IDS_H_
#define BLUEBELL_CORE_IDS_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>

#include "bluebell/core/strong_value.h"

namespace bluebell {

// A daemon of this system, unique in a region. A replaced daemon gets a new id.
using daemon_id = strong_value<struct daemon_id_tag, std::string>;
using endpoint_id = strong_value<struct endpoint_id_tag, std::string>;
using service_name = strong_value<struct service_name_tag, std::string>;
using domain_name = strong_value<struct domain_name_tag, std::string>;
using caller_name = strong_value<struct caller_name_tag, std::string>;

// Names one attempt to write to the store, so that a lost answer can be
// settled by reading the value back.
using change_id = strong_value<struct change_id_tag, std::string>;

// The fencing number of a slice. It rises with every change of its ownership.
using epoch = strong_value<struct epoch_tag, std::uint64_t>;
using table_version = strong_value<struct table_version_tag, std::uint64_t>;
using config_version = strong_value<struct config_version_tag, std::uint64_t>;

// The version that the platform's store gives a value. Zero: no such value.
using store_version = strong_value<struct store_version_tag, std::uint64_t>;

// Chosen afresh each time a process starts.
using incarnation = strong_value<struct incarnation_tag, std::uint64_t>;

// One run of an endpoint process. The owner of a slice is an instance, since a
// process that restarts no longer knows which leases it held.
struct endpoint_instance {
  endpoint_id endpoint;
  incarnation run;

  friend bool operator==(const endpoint_instance&,
                         const endpoint_instance&) = default;
  friend auto operator<=>(const endpoint_instance&,
                          const endpoint_instance&) = default;

  friend std::ostream& operator<<(std::ostream& out,
                                  const endpoint_instance& v) {
    return out << v.endpoint << '/' << v.run;
  }

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(endpoint, run);
  }
};

// One run of a daemon. A daemon that restarts has forgotten which table it
// acknowledged, so it counts as another one.
struct daemon_instance {
  daemon_id id;
  incarnation run;

  friend bool operator==(const daemon_instance&,
                         const daemon_instance&) = default;
  friend auto operator<=>(const daemon_instance&,
                          const daemon_instance&) = default;

  friend std::ostream& operator<<(std::ostream& out, const daemon_instance& v) {
    return out << v.id << '/' << v.run;
  }
};

}  // namespace bluebell

template <>
struct std::hash<bluebell::endpoint_instance> {
  std::size_t operator()(const bluebell::endpoint_instance& v) const noexcept;
};

#endif  // BLUEBELL_CORE_IDS_H_
