#pragma once

#include "configsync.h"
#include "gossip.h"
#include "objectstore.h"
#include "storebudget.h"

#include <optional>
#include <string>
#include <vector>

namespace baobabswitch {

/// A long poll of the stored configuration.
struct config_poll_call {
    std::uint64_t revision = 0;
    milliseconds wait{0};
};

/// A conditional write of status/<domain>.
struct status_write_call {
    std::string name;
    std::string value;
    std::uint64_t if_version = 0;
};

/// I/O that the state machine requests from its driver.
struct sharing_effects {
    peer_messages gossip;
    std::vector<config_fetch> fetches;
    std::optional<config_poll_call> poll;
    std::optional<status_write_call> status;
    bool read_bootstrap_peers = false; ///< from the status objects
    bool new_config = false;           ///< a newer document was adopted
};

/// State that a node shares with others: membership, configuration, and its calls to the platform.
struct sharing_state {
    gossip_state gossip;
    config_sync config;
    bool has_platform = false;
    bool stopping = false; ///< no further calls to the platform are started

    bool polling = false;
    std::uint64_t poll_revision = 0;
    backoff poll_backoff;
    time_point next_poll_at;

    bool writing_status = false;
    std::string last_status_text; ///< status of the last write, without its time; empty if that write failed
    std::uint64_t status_version = 0; ///< expected version for the next write
    backoff status_backoff;
    time_point last_status_at;
    time_point next_status_at;

    bool reading_bootstrap_peers = false;
    backoff bootstrap_peers_backoff;
    time_point next_bootstrap_peers_read_at;
};

sharing_state make_sharing_state(const member& own, std::vector<endpoint> seeds, bool has_platform,
                                 std::uint64_t seed, invariant_table& invariants, time_point now);

/// Applies the document from the settings as version 0.
sharing_effects apply_initial_document(sharing_state& state, nlohmann::json document, time_point now);

/// Runs one round; call it once a second. `wall_ms` is the time since the epoch, written into the status.
sharing_effects sharing_round(sharing_state& state, std::uint64_t wall_ms, time_point now);

sharing_effects change_own_entry(sharing_state& state, const member& own, time_point now);

struct sharing_answer {
    std::string body;
    sharing_effects effects;
};
/// Fails with malformed.
result<sharing_answer> on_gossip(sharing_state& state, std::string_view body, time_point now);
sharing_effects on_gossip_answer(sharing_state& state, const peer_message& sent, std::string_view body,
                                 time_point now);
sharing_effects on_gossip_failure(sharing_state& state, const peer_message& sent, time_point now);

/// Answers GET /n/config. Fails with not_found.
result<std::string> on_config_request(sharing_state& state, std::optional<std::uint64_t> have,
                                      time_point now);
/// `body` is empty if the fetch failed.
sharing_effects on_config_fetched(sharing_state& state, const std::optional<std::string>& body,
                                  time_point now);

sharing_effects on_config_polled(sharing_state& state, const result<config_poll>& poll, time_point now);
/// Result of a status write; `version` is the expected version for the next write.
struct status_write_result {
    bool written = false;
    std::uint64_t version = 0;
};
sharing_effects on_status_written(sharing_state& state, const status_write_result& written, time_point now);
sharing_effects on_bootstrap_peers(sharing_state& state, const result<std::vector<endpoint>>& peers,
                                   time_point now);

/// Reports whether this node is a watcher of its domain (see domain_watchers()).
bool is_watcher(const sharing_state& state);

/// Writes a status object. After a conflict or a lost answer it reads the stored version. Blocks.
status_write_result write_status(object_store& store, const status_write_call& call);

/// Reads the member addresses from all status objects. Blocks. Fails with store_unavailable.
result<std::vector<endpoint>> read_bootstrap_peers(object_store& store);

} // namespace baobabswitch
