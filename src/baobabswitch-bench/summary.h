#pragma once

#include "errors.h"

#include <string>

namespace baobabswitch {

/// Reads all reports of the scenario "compare" in a folder and writes to the same folder: measurements.md (a
/// table per workload with median and range over the seeds), index.html, and for each workload
/// goodput-WORKLOAD.dat and tail-WORKLOAD.dat for gnuplot. Fails with not_found if there is no report.
result<void> write_summary(const std::string& folder);

} // namespace baobabswitch
