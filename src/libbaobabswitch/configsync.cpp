#include "configsync.h"

#include "jsontext.h"
#include "storebudget.h"

#include <xxhash.h>

#include <algorithm>

namespace baobabswitch {

namespace {

using json = nlohmann::json;
using std::chrono::seconds;

constexpr std::size_t max_kept_patches = 32;
constexpr duration fetch_retry_delay = milliseconds{500};
/// Longer than the HTTP timeout of a fetch, so that it applies only if the callback is lost.
constexpr duration fetch_expiry = seconds{5};

error bad_document(const std::string& detail) {
    return {error_kind::bad_document, "configuration rejected: " + detail,
            "apply a new version with baobabswitchctl"};
}

} // namespace

result<bool> accept_document(config_sync& sync, versioned_document next) {
    if (sync.current && next.version <= sync.current->version) {
        return false;
    }
    if (document_digest(next.document) != next.digest) {
        return bad_document("version " + std::to_string(next.version) + " does not have the digest " +
                            next.digest);
    }
    auto parsed = configuration_from_json(next.document);
    if (!parsed) {
        // Announcements up to this version are ignored from now on; a later version may be valid.
        sync.rejected = config_id{next.version, next.digest};
        return bad_document("version " + std::to_string(next.version) + ": " + parsed.error().message);
    }
    if (sync.current) {
        check(*sync.invariants, invariant::config_monotonic, next.version > sync.current->version,
              "version " + std::to_string(next.version) + " would replace " +
                  std::to_string(sync.current->version));
        sync.patches.push_back({sync.current->version, json::diff(sync.current->document, next.document)});
        if (sync.patches.size() > max_kept_patches) {
            sync.patches.pop_front();
        }
    }
    parsed.value().version = next.version;
    sync.in_force = std::make_shared<const configuration>(std::move(parsed.value()));
    sync.current = std::move(next);
    sync.fetch_full = false;
    if (sync.announced && sync.announced->id.version <= sync.current->version) {
        sync.announced.reset();
    }
    return true;
}

result<versioned_document> parse_stored_config(std::string_view value) {
    try {
        auto object = parse_json_or_discard(value);
        return versioned_document{object.at("version").get<std::uint64_t>(),
                                  object.at("digest").get<std::string>(), std::move(object.at("document"))};
    } catch (const json::exception& ex) {
        return bad_document(std::string{"the stored object is malformed: "} + ex.what());
    }
}

config_id current_config_id(const config_sync& sync) {
    return sync.current ? config_id{sync.current->version, sync.current->digest} : config_id{};
}

void note_config_announcement(config_sync& sync, const config_advert& advert) {
    if (sync.current && advert.id.version <= sync.current->version) {
        return;
    }
    if (sync.rejected && advert.id.version <= sync.rejected->version) {
        return;
    }
    if (!sync.announced || advert.id.version >= sync.announced->id.version) {
        sync.announced = advert;
    }
}

std::optional<config_fetch> next_config_fetch(config_sync& sync, time_point now) {
    if (sync.fetch_started && now - *sync.fetch_started >= fetch_expiry) {
        sync.fetch_started.reset();
    }
    if (!sync.announced || sync.fetch_started || now < sync.fetch_after) {
        return std::nullopt;
    }
    sync.fetch_started = now;
    std::string path = "/n/config";
    if (sync.current && !sync.fetch_full) {
        path += "?have=" + std::to_string(sync.current->version);
    }
    return config_fetch{sync.announced->from, std::move(path)};
}

result<std::string> serve_config_fetch(const config_sync& sync, std::optional<std::uint64_t> have) {
    if (!sync.current) {
        return error{error_kind::not_found, "this node has no configuration yet", "ask another node"};
    }
    json answer{{"v", sync.current->version}, {"g", sync.current->digest}};
    if (have && *have >= sync.current->version) {
        return answer.dump();
    }
    const auto first = std::find_if(sync.patches.begin(), sync.patches.end(),
                                    [&](const config_patch& it) { return have && it.from == *have; });
    if (first == sync.patches.end()) {
        answer["doc"] = sync.current->document;
        return answer.dump();
    }
    // JSON patches concatenate: the operations of consecutive patches form one patch.
    auto operations = json::array();
    for (auto it = first; it != sync.patches.end(); ++it) {
        operations.insert(operations.end(), it->operations.begin(), it->operations.end());
    }
    answer["b"] = *have;
    answer["p"] = std::move(operations);
    auto patched = answer.dump();
    // A series of large patches may be longer than the document itself.
    const auto full_document = sync.current->document.dump();
    if (patched.size() <= full_document.size()) {
        return patched;
    }
    answer.erase("b");
    answer.erase("p");
    answer["doc"] = sync.current->document;
    return answer.dump();
}

result<bool> handle_config_response(config_sync& sync, std::string_view body, time_point now) {
    sync.fetch_started.reset();
    try {
        auto answer = parse_json_or_discard(body);
        versioned_document next{answer.at("v").get<std::uint64_t>(), answer.at("g").get<std::string>(), {}};
        if (sync.current && next.version <= sync.current->version) {
            sync.announced.reset();
            return false;
        }
        if (const auto doc = answer.find("doc"); doc != answer.end()) {
            next.document = std::move(*doc);
        } else if (!sync.current || answer.at("b") != sync.current->version) {
            // The patches apply to another version than the current one, which changed during the fetch.
            return false;
        } else {
            next.document = sync.current->document.patch(answer.at("p"));
        }
        auto accepted = accept_document(sync, std::move(next));
        if (!accepted) {
            sync.fetch_full = true;
            sync.fetch_after = now + fetch_retry_delay;
            sync.announced.reset();
        }
        return accepted;
    } catch (const json::exception& ex) {
        sync.fetch_full = true;
        sync.fetch_after = now + fetch_retry_delay;
        return error{error_kind::malformed,
                     std::string{"an answer with a configuration is malformed: "} + ex.what(),
                     "check that all nodes run the same version"};
    }
}

void config_fetch_failed(config_sync& sync, time_point now) {
    sync.fetch_started.reset();
    // The next gossip message from a node that holds the version announces it again.
    sync.announced.reset();
    sync.fetch_after = now + fetch_retry_delay;
}

std::vector<std::string> domain_watchers(const member_table& members, std::string_view domain) {
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    for (const auto& [node, it] : members) {
        if (it.domain == domain && it.state != target_state::down) {
            const auto key = node + "|" + it.domain;
            ranked.emplace_back(XXH64(key.data(), key.size(), 0), node);
        }
    }
    std::sort(ranked.rbegin(), ranked.rend());
    std::vector<std::string> watchers;
    for (const auto& [rank, node] : ranked) {
        if (watchers.size() < watchers_per_domain) {
            watchers.push_back(node);
        }
    }
    return watchers;
}

result<config_poll> poll_config(object_store& store, std::uint64_t revision, milliseconds wait) {
    auto changes = revision == 0 ? store.list(config_object) : store.watch(config_object, revision, wait);
    if (!changes) {
        return changes.error();
    }
    config_poll poll{changes.value().revision, std::nullopt};
    const auto& objects = changes.value().objects;
    const bool changed = std::any_of(objects.begin(), objects.end(), [](const object_version& it) {
        return it.name == config_object && it.version != 0;
    });
    if (!changed) {
        return poll;
    }
    auto object = store.get(config_object);
    if (!object) {
        if (object.error().kind == error_kind::not_found) {
            return poll;
        }
        return object.error();
    }
    poll.value = std::move(object.value().value);
    return poll;
}

} // namespace baobabswitch
