#include "bluebell/settings/internal/problem_list.h"

#include <algorithm>
#include <utility>

namespace bluebell::internal {

void problem_list::Add(std::string path,
                       std::string value,
                       std::string allowed) {
  problems_.push_back({std::move(path), std::move(value), std::move(allowed)});
}

bool problem_list::AllValid(
    std::initializer_list<std::string_view> paths) const {
  return std::none_of(
      problems_.begin(), problems_.end(), [paths](const auto& problem) {
        return std::find(paths.begin(), paths.end(), problem.path) !=
               paths.end();
      });
}

}  // namespace bluebell::internal
