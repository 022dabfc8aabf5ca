#pragma once

#include "errors.h"
#include "eventloop.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace baobabswitch {

/// Greatest size of a value in the platform's object API, in bytes.
inline constexpr std::size_t max_object_bytes = 1'000'000;

struct stored_object {
    std::string name;
    std::uint64_t version = 0; ///< changes with each write of the object, never 0
    std::string value;
};

struct object_version {
    std::string name;
    std::uint64_t version = 0;
};

struct object_list {
    std::vector<object_version> objects;
    std::uint64_t revision = 0; ///< of the whole store; grows with each write
};

/// The platform's object API. Calls block, so they run off the event loop.
/// Each fails with store_unavailable when the call certainly had no effect (refused, rate limited, platform
/// unreachable).
class object_store {
public:
    object_store() = default;
    virtual ~object_store() = default;
    object_store(const object_store&) = delete;
    object_store& operator=(const object_store&) = delete;
    object_store(object_store&&) = delete;
    object_store& operator=(object_store&&) = delete;

    /// Fails with not_found, store_unavailable.
    virtual result<stored_object> get(std::string_view name) = 0;
    /// Writes an object whose version is still `if_version` (0: it does not exist) and returns its new
    /// version. Fails with conflict, store_unavailable, or outcome_unknown when the answer was lost.
    virtual result<std::uint64_t> put(std::string_view name, std::string_view value,
                                      std::uint64_t if_version) = 0;
    /// Removes an object whose version is still `if_version`. Fails as put() does, and with not_found.
    virtual result<void> remove(std::string_view name, std::uint64_t if_version) = 0;
    /// Lists the objects whose names start with the prefix.
    virtual result<object_list> list(std::string_view prefix) = 0;
    /// Waits until an object below the prefix changes after the revision, at most `wait`; the list then holds
    /// the changed objects, or none. A removed object is listed with version 0.
    virtual result<object_list> watch(std::string_view prefix, std::uint64_t after, milliseconds wait) = 0;
};

} // namespace baobabswitch
