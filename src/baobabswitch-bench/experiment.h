#pragma once

#include "deployment.h"
#include "scenario.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <iosfwd>

namespace baobabswitch {

/// Runs a scenario on a started deployment and returns the report as one JSON object.
nlohmann::json run_experiment(deployment& deployed, const scenario& plan, std::uint64_t seed);

/// Prints the main figures of a report as text.
void print_report(std::ostream& out, const nlohmann::json& report);

} // namespace baobabswitch
