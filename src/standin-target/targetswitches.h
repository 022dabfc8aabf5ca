#pragma once

#include "errors.h"

#include <string_view>

namespace baobabswitch {

/// Simulated faults and load conditions of a stand-in target. POST /control sets them at run time from a JSON
/// object with these names.
struct target_switches {
    double slowdown = 1;      ///< factor on every service time
    double cold_start_ms = 0; ///< time after process start during which calls take longer
    double cold_factor = 1;   ///< service time factor at process start; it decreases to 1 over cold_start_ms
    double shed = 0;          ///< fraction of calls rejected with 503 and Baobab-Not-Run
    bool misleading_load = false; ///< the load report always shows an idle target
    bool ignore_cancel = false;   ///< every cancel request is answered "too-late"
    int freeze_ms = 0;            ///< blocks the process once for this time
};

/// Sets the switches named in the JSON object. Fails with malformed and then changes nothing.
result<void> apply_switches(target_switches& switches, std::string_view text);

} // namespace baobabswitch
