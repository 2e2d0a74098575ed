// Reads the fields of one JSON object and notes each mistake.
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

// Both ends are allowed.
struct number_range {
  std::int64_t least;
  std::int64_t greatest;
};

// Each function leaves `out` as it is if the field is missing or wrong.
class object_reader {
 public:
  object_reader(const boost::json::object& object,
                std::string path,
                problem_list& problems);

  // The path of field `name` in the file, for example "services[2].slots".
  std::string PathOf(std::string_view name) const;

  // Letters, digits, '.', '_' and '-', 1 to 64 of them. Names end up in keys of
  // the store and in URLs.
  void Name(std::string_view name, std::string& out);
  void Text(std::string_view name, std::string& out);
  void Choice(std::string_view name,
              std::span<const std::string_view> choices,
              std::string& out);
  void Flag(std::string_view name, bool& out);
  template <typename Integer>
  void Number(std::string_view name, number_range range, Integer& out) {
    if (const auto value = Whole(name, range)) {
      out = static_cast<Integer>(*value);
    }
  }
  void Milliseconds(std::string_view name,
                    number_range range,
                    milliseconds& out);
  // A number with fractions, kept as whole thousandths; the range is in those.
  void Thousandths(std::string_view name,
                   number_range range,
                   std::int64_t& out);
  // `wildcard`: true if "any local address", such as 0.0.0.0, makes sense.
  void Address(std::string_view name, bool wildcard, address& out);
  // Calls `read` with a reader for each element; each must be an object.
  void Objects(std::string_view name,
               presence needed,
               number_range count,
               const std::function<void(object_reader&)>& read);
  // Calls `read` with a reader for the object, if it is there.
  void Object(std::string_view name,
              const std::function<void(object_reader&)>& read);

  // Notes each name that no call asked for.
  void Finish();

 private:
  const boost::json::value* Find(std::string_view name,
                                 presence needed,
                                 const std::string& allowed);
  std::optional<std::int64_t> Whole(std::string_view name, number_range range);
  void Refuse(std::string_view name,
              const boost::json::value& value,
              const std::string& allowed);

  const boost::json::object& object_;
  std::string path_;
  problem_list& problems_;
  std::set<std::string, std::less<>> known_;
};

}  // namespace bluebell::internal

#endif  // BLUEBELL_SETTINGS_INTERNAL_OBJECT_READER_H_
