#include "bluebell/core/time_text.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace bluebell {

namespace {

void AppendDigits(std::string& out, std::uint64_t value, std::size_t width) {
  std::array<char, 20> digits{};
  for (std::size_t i = width; i > 0; --i) {
    digits.at(i - 1) = static_cast<char>('0' + value % 10);
    value /= 10;
  }
  out.append(digits.data(), width);
}

void AppendDigits(std::string& out, std::int64_t value, std::size_t width) {
  AppendDigits(out, static_cast<std::uint64_t>(value), width);
}

void AppendTime(std::string& out, wall_instant when) {
  const auto day = std::chrono::floor<std::chrono::days>(when);
  const std::chrono::year_month_day date(day);
  const std::chrono::hh_mm_ss time(
      std::chrono::floor<milliseconds>(when - day));
  AppendDigits(out, std::int64_t{static_cast<int>(date.year())}, 4);
  out += '-';
  AppendDigits(out, std::uint64_t{static_cast<unsigned>(date.month())}, 2);
  out += '-';
  AppendDigits(out, std::uint64_t{static_cast<unsigned>(date.day())}, 2);
  out += 'T';
  AppendDigits(out, std::int64_t{time.hours().count()}, 2);
  out += ':';
  AppendDigits(out, std::int64_t{time.minutes().count()}, 2);
  out += ':';
  AppendDigits(out, std::int64_t{time.seconds().count()}, 2);
  out += '.';
  AppendDigits(out, std::int64_t{time.subseconds().count()}, 3);
  out += 'Z';
}

}  // namespace

std::string ToIso8601(wall_instant when) {
  std::string text;
  AppendTime(text, when);
  return text;
}

}  // namespace bluebell
