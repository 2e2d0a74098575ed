// Rules between the fields of a settings file.

#ifndef BLUEBELL_SETTINGS_INTERNAL_SETTINGS_RULES_H_
#define BLUEBELL_SETTINGS_INTERNAL_SETTINGS_RULES_H_

#include "bluebell/settings/daemon_settings.h"
#include "bluebell/settings/internal/problem_list.h"

namespace bluebell::internal {

// Ids and addresses that must differ.
void CheckIdentities(const daemon_settings& settings, problem_list& problems);
void CheckServices(const daemon_settings& settings, problem_list& problems);
// The order of the intervals on which the ownership rules rest.
void CheckTiming(const daemon_settings& settings, problem_list& problems);

}  // namespace bluebell::internal

#endif  // BLUEBELL_SETTINGS_INTERNAL_SETTINGS_RULES_H_
