#pragma once

#include "loadgenerator.h"
#include "scenario.h"

#include <nlohmann/json.hpp>

#include <vector>

namespace baobabswitch {

/// Returns whether a request was served: done with status 200 within its kind's timeout, measured from its
/// planned time of sending.
bool is_served(const request_sample& sample, const workload& load);

/// Returns the counts per kind and outcome, and the median and 99th percentile latency of done requests.
nlohmann::json count_kinds(const std::vector<request_sample>& samples, const workload& load);

/// Returns the demand and goodput of each phase.
nlohmann::json describe_phases(const std::vector<request_sample>& samples, const scenario& plan,
                               const workload& load);

/// Returns the five measures of design 1.2. Measures for which the scenario has no phases are null.
nlohmann::json measure(const std::vector<request_sample>& samples, const scenario& plan,
                       const workload& load);

/// Returns the seconds from the end of the surge until goodput recovers permanently: from then on, the share
/// of served requests in every window of 2 s is at least 95% of reference_share. Negative if goodput doesn't
/// recover before the end.
double recovery_seconds(const std::vector<request_sample>& samples, const workload& load,
                        double reference_share, double surge_end, double end);

/// Returns the percentile at a share from 0 to 1 of the values, or 0 if there are none. Sorts the values in
/// place.
double percentile(std::vector<double>& values, double share);

} // namespace baobabswitch
