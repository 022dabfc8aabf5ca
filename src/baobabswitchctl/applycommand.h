#pragma once

#include "commands.h"
#include "objectstore.h"
#include "rollout.h"

#include <iosfwd>

namespace baobabswitch {

/// Reads and validates a document file. Fails with not_found, bad_document.
result<nlohmann::json> read_document(const std::string& file_name);

/// Shows the changes, applies the document, settles an unknown outcome for a while, and waits until every
/// reachable failure domain has the version in force.
exit_code apply_document(object_store& store, const ctl_invocation& invocation);

/// Writes which version is accepted.
void write_accepted_version(std::ostream& out, const rollout& state);
/// Returns one row for each failure domain.
text_table rollout_table(const rollout& state);

} // namespace baobabswitch
