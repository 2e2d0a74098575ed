// Collects the problems of one settings file.

#ifndef BLUEBELL_SETTINGS_INTERNAL_PROBLEM_LIST_H_
#define BLUEBELL_SETTINGS_INTERNAL_PROBLEM_LIST_H_

#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

#include "bluebell/settings/settings_problem.h"

namespace bluebell::internal {

class problem_list {
 public:
  void Add(std::string path, std::string value, std::string allowed);

  // True if no problem has been added for any of `paths`. Rules between fields
  // are checked only then, so that a field isn't reported twice.
  bool AllValid(std::initializer_list<std::string_view> paths) const;

  const std::vector<settings_problem>& all() const { return problems_; }

 private:
  std::vector<settings_problem> problems_;
};

}  // namespace bluebell::internal

#endif  // BLUEBELL_SETTINGS_INTERNAL_PROBLEM_LIST_H_
