#include "bluebell/ctl/internal/text_table.h"

#include <algorithm>
#include <utility>

namespace bluebell::ctl::internal {

text_table::text_table(std::vector<std::string> head)
    : rows_{std::move(head)} {}

void text_table::Add(std::vector<std::string> row) {
  row.resize(rows_.front().size());
  rows_.push_back(std::move(row));
}

std::string text_table::ToString() const {
  if (empty()) {
    return "";
  }
  std::vector<std::size_t> widths(rows_.front().size());
  for (const auto& row : rows_) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const auto& row : rows_) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + '\n';
  }
  return text;
}

}  // namespace bluebell::ctl::internal
