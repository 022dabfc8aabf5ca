#pragma once

#include "bootclock.h"
#include "erarevision.h"
#include "errors.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace baobabswitch {

/// An object of the platform's store, or a deletion event.
struct stored_object {
    std::string name;
    era_revision revision; ///< of its last change
    std::string content;   ///< as stored; any program may have written it
    bool deleted = false;
};

/// Objects of one kind at a revision of the store.
struct object_list {
    std::vector<stored_object> objects;
    era_revision revision;
    std::size_t unreadable = 0; ///< objects without readable metadata, which are left out
};

/// Required freshness of a response. A stale one may be seconds old and is cheaper for the store.
enum class freshness { current, stale };

/// Asynchronous client of the platform's store. Each callback is called exactly once, on the event loop. The
/// revisions in a result have the era of the response that it came with.
/// Errors: store_unavailable (refused, or the outcome is unknown), conflict (the object has another revision
/// or already exists), not_found (the object or the requested history does not exist), malformed (the
/// response can't be read).
class object_client {
public:
    using list_callback = std::function<void(result<object_list>)>;
    using object_callback = std::function<void(result<stored_object>)>;

    object_client() = default;
    virtual ~object_client() = default;
    object_client(const object_client&) = delete;
    object_client& operator=(const object_client&) = delete;
    object_client(object_client&&) = delete;
    object_client& operator=(object_client&&) = delete;

    /// Returns the latest era that any response was sent in, also one that reported an error; 0 if none was
    /// told.
    virtual std::uint64_t era() const = 0;
    /// Returns all objects. A stale list is older than its revision says, never newer, so that a watch from
    /// that revision makes up for it.
    virtual void list(std::string_view kind, freshness wanted, list_callback fn) = 0;
    /// Returns the changes after a revision as soon as there are any, or an empty list after `wait`.
    virtual void watch(std::string_view kind, era_revision after, boot_duration wait, freshness wanted,
                       list_callback fn) = 0;
    virtual void get(std::string_view kind, std::string_view name, object_callback fn) = 0;
    virtual void create(std::string_view kind, std::string_view name, std::string content,
                        object_callback fn) = 0;
    virtual void replace(std::string_view kind, const stored_object& it, object_callback fn) = 0;
    virtual void remove(std::string_view kind, std::string_view name, era_revision revision,
                        object_callback fn) = 0;
};

} // namespace baobabswitch
