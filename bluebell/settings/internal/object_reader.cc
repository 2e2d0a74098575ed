#include "bluebell/settings/internal/object_reader.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <boost/json/serialize.hpp>

namespace bluebell::internal {

namespace {

// The value as JSON text, truncated to a limited length.
std::string Excerpt(const boost::json::value& value) {
  constexpr std::size_t kMaxLength = 80;
  std::string text = boost::json::serialize(value);
  if (text.size() > kMaxLength) {
    text.resize(kMaxLength);
    text += "...";
  }
  return text;
}

std::string RangeText(number_range range) {
  return " from " + std::to_string(range.least) + " to " +
         std::to_string(range.greatest);
}

std::string ChoicesText(std::span<const std::string_view> choices) {
  std::string text = "one of";
  for (const std::string_view choice : choices) {
    text += text.size() > 6 ? ", " : " ";
    text.append("\"").append(choice).append("\"");
  }
  return text;
}

bool IsName(std::string_view text) {
  constexpr std::size_t kMaxLength = 64;
  const auto allowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
  };
  return !text.empty() && text.size() <= kMaxLength && text != "." &&
         text != ".." && std::all_of(text.begin(), text.end(), allowed);
}

bool IsWildcard(const address& where) {
  return where.ip() == "0.0.0.0" || where.ip() == "::";
}

}  // namespace

object_reader::object_reader(const boost::json::object& object,
                             std::string path,
                             problem_list& problems)
    : object_(object), path_(std::move(path)), problems_(problems) {}

std::string object_reader::PathOf(std::string_view name) const {
  return path_.empty() ? std::string(name) : path_ + '.' + std::string(name);
}

void object_reader::Name(std::string_view name, std::string& out) {
  const std::string allowed =
      "1 to 64 letters, digits, '.', '_' or '-', in quotes";
  const boost::json::value* value = Find(name, presence::kRequired, allowed);
  if (value == nullptr) {
    return;
  }
  if (!value->is_string() || !IsName(value->get_string())) {
    ReportProblem(name, *value, allowed);
    return;
  }
  out = value->get_string();
}

void object_reader::Text(std::string_view name, std::string& out) {
  const std::string allowed = "text in quotes";
  const boost::json::value* value = Find(name, presence::kOptional, allowed);
  if (value == nullptr) {
    return;
  }
  if (!value->is_string()) {
    ReportProblem(name, *value, allowed);
    return;
  }
  out = value->get_string();
}

void object_reader::Choice(std::string_view name,
                           std::span<const std::string_view> choices,
                           std::string& out) {
  const std::string allowed = ChoicesText(choices);
  const boost::json::value* value = Find(name, presence::kOptional, allowed);
  if (value == nullptr) {
    return;
  }
  if (value->is_string()) {
    const std::string_view text = value->get_string();
    if (std::find(choices.begin(), choices.end(), text) != choices.end()) {
      out = text;
      return;
    }
  }
  ReportProblem(name, *value, allowed);
}

void object_reader::Flag(std::string_view name, bool& out) {
  const std::string allowed = "true or false";
  const boost::json::value* value = Find(name, presence::kOptional, allowed);
  if (value == nullptr) {
    return;
  }
  if (!value->is_bool()) {
    ReportProblem(name, *value, allowed);
    return;
  }
  out = value->get_bool();
}

void object_reader::Milliseconds(std::string_view name,
                                 number_range range,
                                 milliseconds& out) {
  if (const auto value = WholeNumber(name, range)) {
    out = milliseconds(*value);
  }
}

void object_reader::Thousandths(std::string_view name,
                                number_range range,
                                std::int64_t& out) {
  constexpr double kThousand = 1'000;
  const std::string allowed =
      "a number from " +
      std::to_string(static_cast<double>(range.least) / kThousand) + " to " +
      std::to_string(static_cast<double>(range.greatest) / kThousand);
  const boost::json::value* value = Find(name, presence::kOptional, allowed);
  if (value == nullptr) {
    return;
  }
  if (value->is_number()) {
    const double scaled = value->to_number<double>() * kThousand;
    if (scaled >= static_cast<double>(range.least) &&
        scaled <= static_cast<double>(range.greatest)) {
      out = std::llround(scaled);
      return;
    }
  }
  ReportProblem(name, *value, allowed);
}

void object_reader::Address(std::string_view name,
                            bool allow_wildcard,
                            address& out) {
  const std::string allowed =
      allow_wildcard
          ? "\"IP:PORT\" with a port from 1 to 65535"
          : "\"IP:PORT\" with a port from 1 to 65535 and an IP number "
            "that other hosts can reach";
  const boost::json::value* value = Find(name, presence::kRequired, allowed);
  if (value == nullptr) {
    return;
  }
  if (value->is_string()) {
    const auto parsed = address::Parse(value->get_string());
    if (parsed && parsed.value().port() != 0 &&
        (allow_wildcard || !IsWildcard(parsed.value()))) {
      out = parsed.value();
      return;
    }
  }
  ReportProblem(name, *value, allowed);
}

void object_reader::Objects(std::string_view name,
                            presence required_presence,
                            number_range count,
                            const std::function<void(object_reader&)>& read) {
  const std::string allowed =
      "a list of objects," + RangeText(count) + " of them";
  const boost::json::value* value = Find(name, required_presence, allowed);
  if (value == nullptr) {
    return;
  }
  if (!value->is_array() ||
      std::cmp_less(value->get_array().size(), count.least) ||
      std::cmp_greater(value->get_array().size(), count.greatest)) {
    ReportProblem(name, *value, allowed);
    return;
  }
  std::size_t index = 0;
  for (const boost::json::value& element : value->get_array()) {
    std::string path = PathOf(name);
    path.append("[").append(std::to_string(index++)).append("]");
    if (!element.is_object()) {
      problems_.Add(path, Excerpt(element), "an object");
      continue;
    }
    object_reader reader(element.get_object(), path, problems_);
    read(reader);
    reader.Finish();
  }
}

void object_reader::Object(std::string_view name,
                           const std::function<void(object_reader&)>& read) {
  const std::string allowed = "an object";
  const boost::json::value* value = Find(name, presence::kOptional, allowed);
  if (value == nullptr) {
    return;
  }
  if (!value->is_object()) {
    ReportProblem(name, *value, allowed);
    return;
  }
  object_reader reader(value->get_object(), PathOf(name), problems_);
  read(reader);
  reader.Finish();
}

void object_reader::Finish() {
  for (const auto& member : object_) {
    const std::string_view key = member.key();
    if (requested_names_.contains(key)) {
      continue;
    }
    std::string allowed = "no such name; known here are";
    for (const std::string& name : requested_names_) {
      allowed.append(name == *requested_names_.begin() ? " " : ", ")
          .append(name);
    }
    problems_.Add(PathOf(member.key()), Excerpt(member.value()), allowed);
  }
}

const boost::json::value* object_reader::Find(std::string_view name,
                                              presence required_presence,
                                              const std::string& allowed) {
  requested_names_.emplace(name);
  const boost::json::value* value = object_.if_contains(name);
  if (value == nullptr && required_presence == presence::kRequired) {
    problems_.Add(PathOf(name), "", allowed);
  }
  return value;
}

std::optional<std::int64_t> object_reader::WholeNumber(std::string_view name,
                                                       number_range range) {
  const std::string allowed = "a whole number" + RangeText(range);
  const boost::json::value* value = Find(name, presence::kOptional, allowed);
  if (value == nullptr) {
    return std::nullopt;
  }
  if (!value->is_int64() || value->get_int64() < range.least ||
      value->get_int64() > range.greatest) {
    ReportProblem(name, *value, allowed);
    return std::nullopt;
  }
  return value->get_int64();
}

void object_reader::ReportProblem(std::string_view name,
                                  const boost::json::value& value,
                                  const std::string& allowed) {
  problems_.Add(PathOf(name), Excerpt(value), allowed);
}

}  // namespace bluebell::internal
