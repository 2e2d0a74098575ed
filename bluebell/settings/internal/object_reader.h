// Reads the fields of one JSON object and adds a problem for each invalid or
// unknown one.
//
//   object_reader reader(object, "services[2]", problems);
//   reader.Number("slots", {1, 1024}, spec.slots);
//   reader.Finish();

#ifndef BLUEBELL_SETTINGS_INTERNAL_OBJECT_READER_H_
#define BLUEBELL_SETTINGS_INTERNAL_OBJECT_READER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include "bluebell/core/address.h"
#include "bluebell/core/time.h"
#include "bluebell/settings/internal/problem_list.h"

namespace bluebell::internal {

enum class presence : std::uint8_t { kRequired, kOptional };

// An inclusive range.
struct number_range {
  std::int64_t least;
  std::int64_t greatest;
};

// The functions that read a field leave `out` unchanged if the field is missing
// or invalid. Name(), Address() and Objects() with presence::kRequired add a
// problem for a missing field.
class object_reader {
 public:
  object_reader(const boost::json::object& object,
                std::string path,
                problem_list& problems);

  // The path of field `name` in the file, for example "services[2].slots".
  std::string PathOf(std::string_view name) const;

  // A name of 1 to 64 letters, digits, '.', '_' and '-', since names are used
  // in keys of the store and in URLs.
  void Name(std::string_view name, std::string& out);
  void Text(std::string_view name, std::string& out);
  void Choice(std::string_view name,
              std::span<const std::string_view> choices,
              std::string& out);
  void Flag(std::string_view name, bool& out);
  template <typename Integer>
  void Number(std::string_view name, number_range range, Integer& out) {
    if (const auto value = WholeNumber(name, range)) {
      out = static_cast<Integer>(*value);
    }
  }
  void Milliseconds(std::string_view name,
                    number_range range,
                    milliseconds& out);
  // A number with a fraction, converted to thousandths. `range` is in
  // thousandths too.
  void Thousandths(std::string_view name,
                   number_range range,
                   std::int64_t& out);
  // "IP:PORT". `allow_wildcard` says whether an address for all interfaces,
  // such as 0.0.0.0, is allowed.
  void Address(std::string_view name, bool allow_wildcard, address& out);
  // A list of objects; `count` limits its length. Calls `read` with a reader
  // for each object.
  void Objects(std::string_view name,
               presence required_presence,
               number_range count,
               const std::function<void(object_reader&)>& read);
  // Calls `read` with a reader for the object if the field exists.
  void Object(std::string_view name,
              const std::function<void(object_reader&)>& read);

  // Adds a problem for each name in the object that no function was called for.
  // Call it last.
  void Finish();

 private:
  const boost::json::value* Find(std::string_view name,
                                 presence required_presence,
                                 const std::string& allowed);
  std::optional<std::int64_t> WholeNumber(std::string_view name,
                                          number_range range);
  void ReportProblem(std::string_view name,
                     const boost::json::value& value,
                     const std::string& allowed);

  const boost::json::object& object_;
  std::string path_;
  problem_list& problems_;
  std::set<std::string, std::less<>> requested_names_;
};

}  // namespace bluebell::internal

#endif  // BLUEBELL_SETTINGS_INTERNAL_OBJECT_READER_H_
