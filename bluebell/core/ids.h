// Types for the names and numbers that identify daemons, endpoints, services
// and versions.
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

// A daemon of this system, unique in a region. A replacement gets a new id.
using daemon_id = strong_value<struct daemon_id_tag, std::string>;
using endpoint_id = strong_value<struct endpoint_id_tag, std::string>;
using service_name = strong_value<struct service_name_tag, std::string>;
// A failure domain.
using domain_name = strong_value<struct domain_name_tag, std::string>;
using caller_name = strong_value<struct caller_name_tag, std::string>;

// Identifies one attempt to write to the store. If the answer is lost, reading
// the value back shows whether the attempt succeeded.
using change_id = strong_value<struct change_id_tag, std::string>;

// The fencing token of a slice. It increases with every change of its owner.
using epoch = strong_value<struct epoch_tag, std::uint64_t>;
// The versions of a placement table and of the fleet configuration.
using table_version = strong_value<struct table_version_tag, std::uint64_t>;
using config_version = strong_value<struct config_version_tag, std::uint64_t>;

// The version that the platform's store assigns to a value. Zero means that
// there is no such value. Its high part is the store's era; see store_era.h.
using store_version = strong_value<struct store_version_tag, std::uint64_t>;

// Identifies one run of a process. A restarted process has another one.
using incarnation = strong_value<struct incarnation_tag, std::uint64_t>;

// One run of an endpoint process. The owner of a slice is an instance, because
// a restarted process no longer knows which leases it had.
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

// One run of a daemon. A restarted daemon counts as another instance, because
// it no longer knows which table it acknowledged.
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
