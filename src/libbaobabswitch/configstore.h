#pragma once

#include "objectstore.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace baobabswitch {

inline constexpr std::string_view config_object_name = "config/document";
inline constexpr std::string_view audit_prefix = "audit/";

/// Accepted changes that one audit object holds.
inline constexpr std::size_t audit_block_entries = 32;
/// Maximum number of changes in `recent` of the configuration object; the block of the oldest changes is then
/// moved to an audit object. After a write whose answer was lost, `recent` alone shows whether the write took
/// effect, as long as at most `audit_block_entries` other changes follow.
inline constexpr std::size_t max_recent_entries = 2 * audit_block_entries;
/// Limits on operator input, in bytes, so that `recent` takes up at most a tenth of the object.
inline constexpr std::size_t max_author_bytes = 64;
inline constexpr std::size_t max_reason_bytes = 500;

/// One accepted change of the configuration.
struct audit_entry {
    std::uint64_t version = 0;
    std::string write_id;
    std::string digest;
    std::string author;
    std::string reason;
    std::string time; ///< UTC, "2026-12-04T08:30:00Z"
};

nlohmann::json to_json(const audit_entry& entry);

/// The configuration object as the platform holds it.
struct stored_config {
    audit_entry change; ///< the change that made this version
    nlohmann::json document;
    std::vector<audit_entry> recent;  ///< oldest first, `change` last
    std::uint64_t object_version = 0; ///< for conditional updates
};

/// A change of the configuration that an operator requests.
struct config_change {
    nlohmann::json document;
    std::string author;
    std::string reason;
    std::string time; ///< UTC, see utc_time()
    std::string write_id;
    std::uint64_t base_version = 0;  ///< the version that the document was edited from; 0: there was none
    std::uint64_t floor_version = 0; ///< a version known to be in force; the new version is higher
    /// An earlier attempt with this write_id may have taken effect. Set by apply_change().
    bool may_be_written = false;
};

/// Formats a time as "2026-12-04T08:30:00Z".
std::string utc_time(std::chrono::system_clock::time_point time);
/// Returns a new write identity.
std::string make_write_id();

/// Parses the value of the configuration object. Fails with bad_document when it is damaged.
result<stored_config> parse_stored_config(std::string_view value, std::uint64_t object_version);

/// Reads the configuration. Fails with not_found while there is none, store_unavailable, bad_document.
result<stored_config> read_config(object_store& store);

/// Returns the accepted changes, newest first, at most `limit`. Without a configuration object, only
/// the audit objects are read. Fails with store_unavailable, bad_document.
result<std::vector<audit_entry>> read_audit(object_store& store, std::size_t limit);

/// Writes the change's document as the configuration if the version in the platform is still the change's
/// base version. The audit entry is part of the same write.
///
/// Calling it again with the same change resolves an unknown outcome and never writes twice: every attempt is
/// conditional on the same object version, so at most one of them takes effect, however late it arrives.
/// Calls with the same change must not overlap.
///
/// Fails, with nothing changed, with bad_document, malformed (author, reason or write_id), too_large,
/// store_unavailable, or conflict, which names the author and time of the change that was accepted first.
/// Fails with outcome_unknown while an earlier attempt may have taken effect and the platform can't be read.
result<audit_entry> apply_change(object_store& store, config_change& change);

} // namespace baobabswitch
