#pragma once

#include "loadgenerator.h"
#include "scenario.h"

#include <nlohmann/json.hpp>

#include <vector>

namespace baobabswitch {

/// Reports whether a request was served: done with status 200 within its kind's timeout, counted from the
/// time at which its client planned to send it.
bool is_served(const request_sample& sample, const workload& load);

/// Returns the counts per kind and outcome with the median and 99th percentile of served requests.
nlohmann::json count_kinds(const std::vector<request_sample>& samples, const workload& load);

/// Returns the demand and goodput of each phase.
nlohmann::json describe_phases(const std::vector<request_sample>& samples, const scenario& plan,
                               const workload& load);

/// Returns the five measures of design 1.2; those that the scenario doesn't show are null.
nlohmann::json measure(const std::vector<request_sample>& samples, const scenario& plan,
                       const workload& load);

/// Returns the time from the end of the surge until goodput is back for good: from then on, every window
/// of 2 s serves at least 95% of the reference's share of requests. Negative if it isn't before the end.
double recovery_seconds(const std::vector<request_sample>& samples, const workload& load,
                        double reference_share, double surge_end, double end);

/// Returns a percentile of the values (0 if there are none); the values are sorted in place.
double percentile(std::vector<double>& values, double share);

} // namespace baobabswitch
