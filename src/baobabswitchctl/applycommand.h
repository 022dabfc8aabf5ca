#pragma once

#include "commands.h"
#include "objectstore.h"
#include "rollout.h"

#include <iosfwd>

namespace baobabswitch {

/// Reads and validates a document file. Fails with not_found or bad_document.
result<nlohmann::json> read_document(const std::string& file_name);

/// Applies a document; with table output, prints its changes first. Retries while the outcome is unknown,
/// then waits, unless `invocation.wait` is false, until every reachable failure domain has the version in
/// force. The retries and the wait each have a time limit.
exit_code apply_document(object_store& store, const ctl_invocation& invocation);

/// Writes the accepted version with its digest, author, time and reason.
void write_accepted_version(std::ostream& out, const rollout& state);
/// Returns a table with one row for each failure domain.
text_table rollout_table(const rollout& state);

} // namespace baobabswitch
