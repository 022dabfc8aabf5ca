#pragma once

#include "meshstate.h"
#include "objectclient.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>

namespace baobabswitch {

/// Synchronizes the configuration and the target table from the platform's store, and publishes this node's
/// own entry in it. While the store is unavailable, the last known data remain in use.
class store_sync {
public:
    store_sync(mesh_state& state, object_client& store);
    ~store_sync();
    store_sync(const store_sync&) = delete;
    store_sync& operator=(const store_sync&) = delete;
    store_sync(store_sync&&) = delete;
    store_sync& operator=(store_sync&&) = delete;

    /// Starts to load and watch the store.
    void start();
    /// Reads the configuration of a peer that has a newer one, or of the store if the peer does not return
    /// it. Does nothing while an earlier read is in progress.
    void fetch_config(const endpoint& peer);
    /// Writes this node's entry if it differs from the stored one. After the write succeeded or failed, calls
    /// `done` with whether the current entry is stored.
    void publish_own_entry(std::function<void(bool)> done);
    /// Removes this node's entry from the store. Used after the local target has left. Calls `done` whether
    /// or not this succeeds.
    void remove_own_entry(std::function<void()> done);
    /// Starts an undelayed watch of the configuration if the nodes that this one relies on are no longer
    /// heard from. Called several times a second.
    void reconsider_config_watch();
    /// Returns whether the store answered the last call.
    bool is_connected() const;
    /// Returns the era of the store that the revisions in use belong to; see era_revision.
    std::uint64_t era() const;

private:
    struct collection;

    void load(collection& it);
    void probe_and_watch(collection& it);
    void watch(collection& it, boot_duration wait, freshness wanted);
    void retry(collection& it, bool reload);
    freshness choose_freshness(const collection& it);
    /// Adopts the latest era that the store has told. Drops all revisions of earlier ones and lists both
    /// kinds again. Called first in the callback of each store call.
    void follow_era();
    /// Returns whether a response was sent in an earlier era, so that its data are void. Logs this.
    bool is_outdated(const era_revision& it, std::string_view call);
    /// Logs a response that can't be read; other errors are logged as a lost store.
    void log_unreadable(const error& cause, std::string_view call);
    /// Removes the entries of other nodes that were not written again in the current era.
    void remove_unwritten_entries();
    void on_targets_loaded(const std::set<std::string>& names, const era_revision& revision);
    /// Returns whether the configuration in force changed.
    bool apply_config(const stored_object& it);
    void apply_target(const stored_object& it);
    void reject_entry(const stored_object& it, const error& cause);
    void count_unreadable(const collection& it, const object_list& list);
    void record_store_result(bool reached, std::string_view what);
    void write_own_entry();
    void retry_write();
    void finish_write(bool stored);
    void on_written(result<stored_object> written);

    mesh_state& state_;
    object_client& store_;
    std::unique_ptr<collection> config_;
    std::unique_ptr<collection> targets_;
    bool connected_ = false;
    bool connection_state_logged_ = false;
    std::uint64_t era_ = 0;
    boot_time_point era_began_{}; ///< when this node learned of the era; unset for the first one
    era_revision own_revision_;
    std::optional<target_entry> stored_entry_;
    std::vector<std::function<void(bool)>> publish_callbacks_;
    bool writing_ = false;
    bool removed_ = false; ///< the own entry was removed and is not written again
    bool config_fetch_pending_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/// Encodes an entry as the content of a stored object.
std::string encode_entry(const target_entry& it);
/// Decodes the content of a stored object. Fails with malformed.
result<target_entry> decode_entry(const stored_object& it);

} // namespace baobabswitch
