// A problem of one value in a settings file, for the operator.

#ifndef BLUEBELL_SETTINGS_SETTINGS_PROBLEM_H_
#define BLUEBELL_SETTINGS_SETTINGS_PROBLEM_H_

#include <ostream>
#include <string>

namespace bluebell {

struct settings_problem {
  // The path of the value, for example "services[2].slots".
  std::string path;
  // The value in the file; empty if it is missing.
  std::string value;
  // The allowed values, for example "a whole number from 1 to 1024".
  std::string allowed;

  friend bool operator==(const settings_problem&,
                         const settings_problem&) = default;
  friend std::ostream& operator<<(std::ostream& out,
                                  const settings_problem& problem);
};

}  // namespace bluebell

#endif  // BLUEBELL_SETTINGS_SETTINGS_PROBLEM_H_
