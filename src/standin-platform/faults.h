#pragma once

#include "errors.h"

#include <cstdint>
#include <string_view>

namespace baobabswitch {

enum class outage_kind {
    none,
    refuse, ///< calls are answered 503
    silent, ///< calls get no answer and have no effect
};

/// How the stand-in platform behaves; any of these may be combined.
struct platform_faults {
    double latency_ms = 1; ///< time of a call
    double slow_ms = 0;    ///< added to each call in a slow period, up to this, at random
    outage_kind outage = outage_kind::none;
    double unavailable_percent = 0; ///< of the calls answered 503
    double lost_answer_percent = 0; ///< of the writes that take effect and get no answer
    double lost_call_percent = 0;   ///< of the calls that have no effect and get no answer
    double writes_per_second = 300;
    double reads_per_second = 2000;
    std::uint64_t seed = 1; ///< changing it starts the sequence of faults again
    double for_ms = 0; ///< after this time latency, outage and percentages return to their defaults; 0: never
};

/// Sets the faults that a JSON object names and leaves the others.
/// Fails with bad_document, with nothing changed.
result<platform_faults> change_faults(const platform_faults& faults, std::string_view text);

} // namespace baobabswitch
