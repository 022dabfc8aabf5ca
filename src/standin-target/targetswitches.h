#pragma once

#include "errors.h"

#include <string_view>

namespace baobabswitch {

/// Faults and pressures of a stand-in target, set at run time by POST /control with a JSON object of these
/// names.
struct target_switches {
    double slowdown = 1;          ///< factor on every service time
    double cold_start_ms = 0;     ///< time after the start of the process during which calls take longer
    double cold_factor = 1;       ///< factor at the very start; it falls to 1 over cold_start_ms
    double shed = 0;              ///< share of calls refused with 503 and Baobab-Not-Run
    bool misleading_load = false; ///< the load report always says idle
    bool ignore_cancel = false;   ///< every cancel is answered "too-late"
    int freeze_ms = 0;            ///< the process does nothing for that long, once
};

/// Takes over the members that the JSON object names. Fails with malformed and changes nothing then.
result<void> apply_switches(target_switches& switches, std::string_view text);

} // namespace baobabswitch
