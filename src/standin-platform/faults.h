#pragma once

#include "errors.h"

#include <cstdint>
#include <string_view>

namespace baobabswitch {

enum class outage_kind {
    none,
    refuse, ///< calls are answered with 503
    silent, ///< calls get no answer and have no effect
};

/// Simulated latency, faults and rate limits of the stand-in platform; they can be combined.
struct platform_faults {
    double latency_ms = 1; ///< round-trip latency of a call
    double slow_ms = 0;    ///< upper limit of a random delay added to each call
    outage_kind outage = outage_kind::none;
    double unavailable_percent = 0; ///< share of calls answered with 503
    double lost_answer_percent = 0; ///< share of writes that take effect but get no answer
    double lost_call_percent = 0;   ///< share of calls that have no effect and get no answer
    double writes_per_second = 300;
    double reads_per_second = 2000;
    std::uint64_t seed = 1; ///< seed of the random faults; a change restarts their sequence
    double for_ms = 0; ///< time after which all but seed and rate limits return to their defaults; 0: never
};

/// Returns a copy of the faults with the fields of a JSON object replaced. Fails with bad_document.
result<platform_faults> change_faults(const platform_faults& faults, std::string_view text);

} // namespace baobabswitch
