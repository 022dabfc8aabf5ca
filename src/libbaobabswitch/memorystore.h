#pragma once

#include "objectstore.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>

namespace baobabswitch {

/// Fault that a memory store injects into one call, for tests and the stand-in platform.
enum class store_fault {
    none,
    unavailable, ///< the call fails without effect
    answer_lost, ///< a put or remove takes effect if its condition holds, but fails with outcome_unknown;
                 ///< other calls are unavailable
};

/// An object store in memory, for tests and the stand-in platform. May be used from any thread.
class memory_store final : public object_store {
public:
    result<stored_object> get(std::string_view name) override;
    result<std::uint64_t> put(std::string_view name, std::string_view value,
                              std::uint64_t if_version) override;
    result<void> remove(std::string_view name, std::uint64_t if_version) override;
    result<object_list> list(std::string_view prefix) override;
    result<object_list> watch(std::string_view prefix, std::uint64_t after, milliseconds wait) override;

    /// Called before each operation ("get", "put", "remove", "list", "watch") with its object name or prefix;
    /// returns the fault to inject.
    std::function<store_fault(std::string_view operation, std::string_view name)> on_call;

private:
    store_fault fault(std::string_view operation, std::string_view name) const;

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, stored_object, std::less<>> objects_;
    /// Store revision of each object's last change, by object name; kept for removed objects.
    std::map<std::string, std::uint64_t, std::less<>> revisions_;
    std::uint64_t revision_ = 0;
};

} // namespace baobabswitch
