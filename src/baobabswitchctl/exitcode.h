#pragma once

#include "errors.h"

namespace baobabswitch {

/// Exit codes of baobabswitchctl, documented in man/baobabswitchctl.1.
enum class exit_code {
    done = 0,
    failed = 1,       ///< any error without an exit code of its own
    usage = 2,        ///< the command line or the settings are wrong
    invalid = 3,      ///< the document is not valid; nothing was changed
    conflict = 4,     ///< another change was accepted first; nothing was changed
    unknown = 5,      ///< the change may or may not have been accepted
    unavailable = 6,  ///< the platform or the node does not answer; nothing was changed
    pending = 7,      ///< accepted, but not yet in force in some reachable failure domain
    unauthorized = 8, ///< the node refused the token
    not_found = 9,    ///< there is no such object, node or request
};

/// Returns the exit code for an error.
exit_code exit_code_of(const error& err);

} // namespace baobabswitch
