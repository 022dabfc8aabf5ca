#include "bodymemory.h"

#include <algorithm>
#include <utility>

namespace baobabswitch {

body_memory::body_memory(std::size_t limit) : limit_(limit) {}

body_memory::holder_id body_memory::add(std::function<void()> on_evicted) {
    const auto id = ++last_id_;
    holders_.emplace(id, holder{0, std::move(on_evicted)});
    return id;
}

void body_memory::resize(holder_id id, std::size_t bytes) {
    const auto found = holders_.find(id);
    if (found == holders_.end()) {
        return;
    }
    held_ += bytes - found->second.bytes;
    found->second.bytes = bytes;
    while (held_ > limit_) {
        const auto largest =
            std::max_element(holders_.begin(), holders_.end(),
                             [](const auto& a, const auto& b) { return a.second.bytes < b.second.bytes; });
        const auto fn = std::move(largest->second.on_evicted);
        remove(largest->first);
        fn();
    }
}

void body_memory::remove(holder_id id) {
    const auto found = holders_.find(id);
    if (found != holders_.end()) {
        held_ -= found->second.bytes;
        holders_.erase(found);
    }
}

std::size_t body_memory::held_bytes() const {
    return held_;
}

} // namespace baobabswitch
