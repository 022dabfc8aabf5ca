#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>

namespace baobabswitch {

/// Memory that the bodies of responses take up while clients read them. Clients that share one object share
/// its limit. When the sum exceeds the limit, the body that takes up most is given up, since a peer that
/// sends without end outgrows all others. Event loop thread only.
class body_memory {
public:
    using holder_id = std::uint64_t;

    /// `limit` is in bytes.
    explicit body_memory(std::size_t limit);

    /// Registers a body. `on_evicted` is called at most once, by a later resize(), and has to release the
    /// body; the holder is removed by then.
    holder_id add(std::function<void()> on_evicted);
    /// Sets the size of a body, in bytes. Evicts the largest bodies while the sum exceeds the limit.
    void resize(holder_id id, std::size_t bytes);
    /// Removes a body; unknown ids are ignored.
    void remove(holder_id id);

    /// Returns the sum of all bodies, in bytes.
    std::size_t held_bytes() const;

private:
    struct holder {
        std::size_t bytes = 0;
        std::function<void()> on_evicted;
    };

    std::size_t limit_;
    std::size_t held_ = 0;
    holder_id last_id_ = 0;
    std::map<holder_id, holder> holders_;
};

} // namespace baobabswitch
