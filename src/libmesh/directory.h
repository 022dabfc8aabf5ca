#pragma once

#include "meshstate.h"
#include "objectclient.h"

#include <functional>
#include <memory>
#include <optional>

namespace baobabswitch {

/// Keeps the configuration and the table of targets up to date from the platform's store, and this node's own
/// entry in it. While the store is away, what is known stays in force.
class directory {
public:
    directory(mesh_state& state, object_client& store);
    ~directory();
    directory(const directory&) = delete;
    directory& operator=(const directory&) = delete;
    directory(directory&&) = delete;
    directory& operator=(directory&&) = delete;

    /// Starts to follow the store.
    void start();
    /// Reads the configuration now; `on_failed` is called if the store doesn't give it.
    void fetch_config(std::function<void()> on_failed);
    /// Writes the own entry if it differs from the stored one. `done` is called when it is stored or the
    /// attempt failed; it gets whether it is stored.
    void publish_own_entry(std::function<void(bool)> done);
    /// Removes the own entry: the target is gone for good.
    void remove_own_entry(std::function<void()> done);
    /// Reports whether the last call to the store succeeded.
    bool is_connected() const;

private:
    struct collection;

    void load(collection& it);
    void follow(collection& it);
    void watch(collection& it, boot_duration wait, freshness wanted);
    void retry(collection& it, bool reload);
    void apply_config(const stored_object& it);
    void apply_target(const stored_object& it);
    void record_store_result(bool reached, std::string_view what);
    void write_own_entry();
    void finish_write(bool stored);
    void on_written(result<stored_object> written);

    mesh_state& state_;
    object_client& store_;
    std::unique_ptr<collection> config_;
    std::unique_ptr<collection> targets_;
    bool connected_ = false;
    bool connection_reported_ = false;
    std::uint64_t own_revision_ = 0;
    std::optional<target_entry> own_stored_;
    std::vector<std::function<void(bool)>> publish_callbacks_;
    bool writing_ = false;
    bool config_fetch_pending_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/// Encodes an entry as the content of a stored object.
std::string encode_entry(const target_entry& it);
/// Decodes the content of a stored object. Fails with malformed.
result<target_entry> decode_entry(const stored_object& it);

} // namespace baobabswitch
