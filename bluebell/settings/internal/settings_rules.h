// Checks the rules between the fields of a settings file. Each function adds
// the problems that it finds to `problems`.

#ifndef BLUEBELL_SETTINGS_INTERNAL_SETTINGS_RULES_H_
#define BLUEBELL_SETTINGS_INTERNAL_SETTINGS_RULES_H_

#include "bluebell/settings/daemon_settings.h"
#include "bluebell/settings/internal/problem_list.h"

namespace bluebell::internal {

// Ids and addresses must differ.
void CheckIdentities(const daemon_settings& settings, problem_list& problems);
// Service names must differ, and the limits of each service must fit together.
void CheckServices(const daemon_settings& settings, problem_list& problems);
// The intervals must be in the order that the ownership rules depend on.
void CheckTiming(const daemon_settings& settings, problem_list& problems);

}  // namespace bluebell::internal

#endif  // BLUEBELL_SETTINGS_INTERNAL_SETTINGS_RULES_H_
