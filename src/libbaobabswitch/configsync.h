#pragma once

#include "configdocument.h"
#include "gossip.h"
#include "invariants.h"
#include "membership.h"
#include "objectstore.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace baobabswitch {

/// Name of the object that holds the configuration, and of the objects that hold the domains' status.
inline constexpr std::string_view config_object = "config/document";
inline constexpr std::string_view status_prefix = "status/";

/// A document with the version and digest under which it was accepted.
struct versioned_document {
    std::uint64_t version = 0;
    std::string digest;
    nlohmann::json document;
};

/// Changes from one version that this node held to the next.
struct config_patch {
    std::uint64_t from = 0;
    nlohmann::json operations; ///< JSON patch (RFC 6902)
};

/// The newest configuration that a node holds, and the state of fetching newer ones.
struct config_sync {
    std::optional<versioned_document> current;
    std::shared_ptr<const configuration> in_force; ///< the current document as the call path reads it
    std::optional<config_id> rejected;             ///< newest document that fails the schema of this node
    std::deque<config_patch> patches;              ///< oldest first
    std::optional<config_advert> announced;        ///< newest version that another node announced
    std::optional<time_point> fetch_started;       ///< start of the fetch in flight
    time_point fetch_after;                        ///< earliest time of the next fetch, set after a failure
    bool fetch_full = false; ///< ask for the whole document, since the last answer was not accepted
    invariant_table* invariants = nullptr;
};

/// A request GET /n/config for another node.
struct config_fetch {
    endpoint from;
    std::string path;
};

/// Accepts a document if its version is higher, its digest matches and its content is valid. Returns false,
/// with nothing changed, for a version that is not higher. Fails with bad_document.
result<bool> accept_document(config_sync& sync, versioned_document next);

/// Reads the value of the object config/document (design §7). Fails with bad_document.
result<versioned_document> parse_stored_config(std::string_view value);

/// Returns the version and digest of the configuration held; version 0 and an empty digest if there is none.
config_id current_config_id(const config_sync& sync);

/// Records that a node announced the version it holds.
void note_config_announcement(config_sync& sync, const config_advert& advert);

/// Returns the next request to send, if a newer version is known and none is in flight. Only the newest
/// version is fetched, however many were announced.
std::optional<config_fetch> next_config_fetch(config_sync& sync, time_point now);

/// Answers GET /n/config?have=N: JSON patches from N, the whole document if N is too old, unknown or absent,
/// or only the version and digest held if that version is not newer than N. Fails with not_found while no
/// configuration is held.
result<std::string> serve_config_fetch(const config_sync& sync, std::optional<std::uint64_t> have);

/// Handles the answer to a fetch and reports whether a newer document was accepted. After a failure the
/// next fetch asks for the whole document. Fails with bad_document, malformed.
result<bool> handle_config_response(config_sync& sync, std::string_view body, time_point now);

/// Handles a fetch that got no answer.
void config_fetch_failed(config_sync& sync, time_point now);

/// Returns the live members of a domain that watch the platform: the two with the highest rendezvous hash,
/// highest first.
std::vector<std::string> domain_watchers(const member_table& members, std::string_view domain);

/// Result of polling the platform once.
struct config_poll {
    std::uint64_t revision = 0; ///< to continue from
    std::optional<std::string> value;
};

/// Reads the stored configuration if it changed after the revision, waiting for a change at most `wait`;
/// revision 0 reads it at once. Blocks. Fails with store_unavailable.
result<config_poll> poll_config(object_store& store, std::uint64_t revision, milliseconds wait);

} // namespace baobabswitch
