#include "memorystore.h"

namespace baobabswitch {

namespace {

error unavailable() {
    return {error_kind::store_unavailable, "the platform does not answer", "try again; nothing was changed"};
}

error answer_lost() {
    return {error_kind::outcome_unknown, "the platform's answer was lost", "read the object back"};
}

error conflict(std::string_view name) {
    return {error_kind::conflict, "object \"" + std::string{name} + "\" was changed by another writer",
            "read it again and repeat the change"};
}

error missing(std::string_view name) {
    return {error_kind::not_found, "there is no object \"" + std::string{name} + "\"", "check the name"};
}

} // namespace

store_fault memory_store::fault(std::string_view operation, std::string_view name) const {
    return on_call ? on_call(operation, name) : store_fault::none;
}

result<stored_object> memory_store::get(std::string_view name) {
    if (fault("get", name) != store_fault::none) {
        return unavailable();
    }
    const std::lock_guard lock{mutex_};
    const auto it = objects_.find(name);
    if (it == objects_.end()) {
        return missing(name);
    }
    return it->second;
}

result<std::uint64_t> memory_store::put(std::string_view name, std::string_view value,
                                        std::uint64_t if_version) {
    const auto what = fault("put", name);
    if (what == store_fault::unavailable) {
        return unavailable();
    }
    if (value.size() > max_object_bytes) {
        return error{error_kind::too_large, "object \"" + std::string{name} + "\" is over 1 MB", "split it"};
    }
    const std::lock_guard lock{mutex_};
    const auto it = objects_.find(name);
    const auto version = it == objects_.end() ? 0 : it->second.version;
    if (version != if_version) {
        return what == store_fault::answer_lost ? answer_lost() : conflict(name);
    }
    ++revision_;
    objects_[std::string{name}] = {std::string{name}, revision_, std::string{value}};
    revisions_[std::string{name}] = revision_;
    changed_.notify_all();
    if (what == store_fault::answer_lost) {
        return answer_lost();
    }
    return revision_;
}

result<void> memory_store::remove(std::string_view name, std::uint64_t if_version) {
    const auto what = fault("remove", name);
    if (what == store_fault::unavailable) {
        return unavailable();
    }
    const std::lock_guard lock{mutex_};
    const auto it = objects_.find(name);
    if (it == objects_.end()) {
        return what == store_fault::answer_lost ? answer_lost() : missing(name);
    }
    if (it->second.version != if_version) {
        return what == store_fault::answer_lost ? answer_lost() : conflict(name);
    }
    objects_.erase(it);
    revisions_[std::string{name}] = ++revision_;
    changed_.notify_all();
    if (what == store_fault::answer_lost) {
        return answer_lost();
    }
    return success();
}

result<object_list> memory_store::list(std::string_view prefix) {
    if (fault("list", prefix) != store_fault::none) {
        return unavailable();
    }
    const std::lock_guard lock{mutex_};
    object_list found;
    found.revision = revision_;
    for (auto it = objects_.lower_bound(prefix); it != objects_.end() && it->first.starts_with(prefix);
         ++it) {
        found.objects.push_back({it->first, it->second.version});
    }
    return found;
}

result<object_list> memory_store::watch(std::string_view prefix, std::uint64_t after, milliseconds wait) {
    if (fault("watch", prefix) != store_fault::none) {
        return unavailable();
    }
    std::unique_lock lock{mutex_};
    object_list found;
    const auto collect = [&] {
        for (auto it = revisions_.lower_bound(prefix);
             it != revisions_.end() && it->first.starts_with(prefix); ++it) {
            if (it->second > after) {
                const auto object = objects_.find(it->first);
                found.objects.push_back({it->first, object == objects_.end() ? 0 : object->second.version});
            }
        }
        return !found.objects.empty();
    };
    changed_.wait_for(lock, wait, collect);
    found.revision = revision_;
    return found;
}

} // namespace baobabswitch
