#include "promises.h"

#include "jsontext.h"

#include <nlohmann/json.hpp>
#include <sodium.h>

#include <algorithm>
#include <array>
#include <optional>

namespace baobabswitch {

namespace {

using json = nlohmann::json;

constexpr std::array<std::string_view, 5> state_names{"waiting", "claimed", "done", "unknown", "expired"};
constexpr std::size_t item_overhead_bytes = 256; ///< bytes of the JSON fields around a body

/// Bodies may hold any bytes, so they are stored as base64.
std::string encode(std::string_view data) {
    constexpr int variant = sodium_base64_VARIANT_ORIGINAL;
    std::string buf(sodium_base64_encoded_len(data.size(), variant), '\0');
    sodium_bin2base64(buf.data(), buf.size(), reinterpret_cast<const unsigned char*>(data.data()),
                      data.size(), variant);
    buf.pop_back();
    return buf;
}

std::string decode(const std::string& text) {
    std::string buf(text.size(), '\0');
    std::size_t n = 0;
    sodium_base642bin(reinterpret_cast<unsigned char*>(buf.data()), buf.size(), text.data(), text.size(),
                      nullptr, &n, nullptr, sodium_base64_VARIANT_ORIGINAL);
    buf.resize(n);
    return buf;
}

json item_to_json(const promise_item& it) {
    return {{"key", it.key},
            {"service", it.service},
            {"path", it.path},
            {"kind", it.kind},
            {"body", encode(it.body)},
            {"importance", it.importance},
            {"idempotent", it.idempotent},
            {"expires_ms", it.expires_ms},
            {"state", promise_state_name(it.state)},
            {"claimant", it.claimant},
            {"tries", it.attempts},
            {"status", it.status},
            {"answer", encode(it.answer)}};
}

promise_item item_from_json(const json& value) {
    promise_item it;
    value.at("key").get_to(it.key);
    value.at("service").get_to(it.service);
    value.at("path").get_to(it.path);
    value.at("kind").get_to(it.kind);
    it.body = decode(value.at("body"));
    value.at("importance").get_to(it.importance);
    value.at("idempotent").get_to(it.idempotent);
    value.at("expires_ms").get_to(it.expires_ms);
    const auto name = value.at("state").get<std::string>();
    const auto found = std::find(state_names.begin(), state_names.end(), name);
    // A call in a state that this version doesn't know must never run again.
    it.state = found == state_names.end() ? promise_state::unknown
                                          : static_cast<promise_state>(found - state_names.begin());
    value.at("claimant").get_to(it.claimant);
    value.at("tries").get_to(it.attempts);
    value.at("status").get_to(it.status);
    it.answer = decode(value.at("answer"));
    return it;
}

std::size_t estimated_size(const promise_item& it) {
    // Base64 encodes three bytes as four.
    return item_overhead_bytes + it.key.size() + it.path.size() + it.body.size() * 4 / 3;
}

/// Returns the state to store after a run that ended with `state`. A call that was not run waits again, and
/// so does an idempotent call of unknown outcome, until max_promise_attempts claims are reached.
promise_state state_after_run(promise_state state, const promise_item& it) {
    const bool may_retry =
        state == promise_state::waiting || (state == promise_state::unknown && it.idempotent);
    if (!may_retry) {
        return state;
    }
    const auto final_state =
        state == promise_state::waiting ? promise_state::expired : promise_state::unknown;
    return it.attempts < max_promise_attempts ? promise_state::waiting : final_state;
}

bool is_final(const promise_item& it) {
    return it.state == promise_state::done || it.state == promise_state::unknown ||
           it.state == promise_state::expired;
}

/// Writes an empty batch under the name of an earlier write whose answer was lost. When this succeeds, the
/// earlier write fails its version check and can no longer take effect.
bool write_placeholder(object_store& store, const std::string& name, std::string_view holder,
                       std::uint64_t now_ms) {
    return store.put(name, to_json(promise_batch{std::string{holder}, now_ms, {}}).dump(), 0).has_value();
}

void erase_held_batch(promise_table& promises, const std::string& name) {
    const auto it = promises.held_batches.find(name);
    if (it != promises.held_batches.end()) {
        promises.reserved_bytes -= it->second.bytes;
        promises.held_batches.erase(it);
    }
}

/// Reads a held batch again after a conflict or a lost answer; removes it from the table when it no longer
/// exists. Returns whether the table now agrees with the store.
bool reload(promise_table& promises, object_store& store, const std::string& name) {
    const auto it = promises.held_batches.find(name);
    if (it == promises.held_batches.end()) {
        return false;
    }
    const auto object = store.get(name);
    if (!object) {
        const bool unconfirmed = it->second.version == 0;
        if (object.error().kind != error_kind::not_found ||
            (unconfirmed && !write_placeholder(store, name, promises.self, it->second.batch.created_ms))) {
            return false;
        }
        erase_held_batch(promises, name);
        return true;
    }
    auto batch = batch_from_json(object.value().value);
    if (!batch) {
        return false;
    }
    it->second.batch = std::move(batch.value());
    it->second.version = object.value().version;
    return true;
}

/// Writes a changed batch. Returns whether the store is known to hold exactly this content.
bool write_batch(promise_table& promises, object_store& store, const std::string& name,
                 const promise_batch& changed) {
    auto& held = promises.held_batches.at(name);
    const auto text = to_json(changed).dump();
    const auto written = store.put(name, text, held.version);
    if (written) {
        held.batch = changed;
        held.version = written.value();
        return true;
    }
    if (written.error().kind == error_kind::store_unavailable) {
        return false;
    }
    return reload(promises, store, name) && promises.held_batches.contains(name) &&
           to_json(promises.held_batches.at(name).batch).dump() == text;
}

} // namespace

std::string_view promise_state_name(promise_state state) {
    return state_names.at(static_cast<std::size_t>(state));
}

json to_json(const promise_batch& batch) {
    auto items = json::array();
    for (const auto& it : batch.items) {
        items.push_back(item_to_json(it));
    }
    return {{"holder", batch.holder}, {"created_ms", batch.created_ms}, {"items", std::move(items)}};
}

result<promise_batch> batch_from_json(std::string_view text) {
    try {
        const auto value = parse_json_or_discard(text);
        promise_batch batch;
        value.at("holder").get_to(batch.holder);
        value.at("created_ms").get_to(batch.created_ms);
        for (const auto& it : value.at("items")) {
            batch.items.push_back(item_from_json(it));
        }
        return batch;
    } catch (const json::exception& ex) {
        return error{error_kind::malformed, std::string{"a batch of promises is malformed: "} + ex.what(),
                     "check that all nodes run the same version"};
    }
}

result<void> add_promise(promise_table& promises, promise_item item) {
    const auto bytes = estimated_size(item);
    if (item.body.size() > promises.limits.item_bytes) {
        return error{error_kind::too_large, "the call's body is too large to be promised",
                     "send it again when load is lower"};
    }
    const bool batch_full = promises.open_items.size() >= promises.limits.batch_items ||
                            promises.open_bytes + bytes > promises.limits.batch_bytes;
    if (batch_full || promises.reserved_bytes + bytes > promises.limits.node_bytes) {
        return error{error_kind::overloaded, "this node has reached its limit of promised calls",
                     "try again later or at another node"};
    }
    promises.reserved_bytes += bytes;
    promises.open_bytes += bytes;
    promises.open_items.push_back(std::move(item));
    return success();
}

batch_write_result write_open_batch(promise_table& promises, object_store& store, std::uint64_t now_ms,
                                    invariant_table& invariants) {
    batch_write_result result;
    if (promises.open_items.empty()) {
        result.outcome = promise_write::stored;
        return result;
    }
    const auto name =
        "promises/" + promises.domain + "/" + promises.self + "/" + std::to_string(++promises.last_serial);
    promise_batch batch{promises.self, now_ms, std::move(promises.open_items)};
    const auto bytes = promises.open_bytes;
    promises.open_items.clear();
    promises.open_bytes = 0;
    for (const auto& it : batch.items) {
        result.keys.push_back(it.key);
    }
    const auto text = to_json(batch).dump();
    auto written = store.put(name, text, 0);
    if (!written && written.error().kind == error_kind::outcome_unknown) {
        if (write_placeholder(store, name, promises.self, now_ms)) {
            promises.reserved_bytes -= bytes;
            return result;
        }
        const auto object = store.get(name);
        if (object && object.value().value == text) {
            written = object.value().version;
        } else {
            result.outcome = promise_write::unknown;
            // The batch may exist, so its bytes stay reserved and reload() looks for it again.
            promises.held_batches[name] = {std::move(batch), 0, bytes};
            return result;
        }
    }
    if (!written) {
        promises.reserved_bytes -= bytes;
        return result;
    }
    result.outcome = promise_write::stored;
    check(invariants, invariant::promise_kept, written.value() != 0,
          "a call was promised that the store doesn't hold");
    promises.held_batches[name] = {std::move(batch), written.value(), bytes};
    return result;
}

std::vector<promise_item> claim_promises(promise_table& promises, object_store& store,
                                         std::string_view service, std::size_t max_calls,
                                         invariant_table& invariants) {
    std::vector<std::string> names;
    for (const auto& [name, it] : promises.held_batches) {
        names.push_back(name);
    }
    for (const auto& name : names) {
        if (promises.held_batches.at(name).version == 0 && !reload(promises, store, name)) {
            continue;
        }
        if (!promises.held_batches.contains(name) ||
            promises.held_batches.at(name).batch.holder != promises.self) {
            continue;
        }
        auto changed = promises.held_batches.at(name).batch;
        std::vector<promise_item> claimed;
        for (auto& it : changed.items) {
            const bool ours = it.state == promise_state::claimed && it.claimant == promises.self &&
                              !promises.started_keys.contains(it.key);
            const bool free = it.state == promise_state::waiting;
            if (it.service == service && (ours || free) && claimed.size() < max_calls) {
                it.state = promise_state::claimed;
                it.claimant = promises.self;
                it.attempts += free ? 1 : 0;
                claimed.push_back(it);
            }
        }
        if (claimed.empty() || !write_batch(promises, store, name, changed)) {
            continue;
        }
        for (const auto& it : claimed) {
            check(invariants, invariant::promise_once, promises.started_keys.insert(it.key).second,
                  "a promised call was started twice by its claimant");
        }
        return claimed;
    }
    return {};
}

void record_promise_outcome(promise_table& promises, std::string_view key, const call_outcome& outcome) {
    promise_item it;
    it.key = key;
    if (outcome.kind == outcome_kind::done) {
        it.state = promise_state::done;
        it.status = outcome.response.status;
        if (outcome.response.body.size() <= promises.limits.answer_bytes) {
            it.answer = outcome.response.body;
        }
    } else {
        it.state = outcome.kind == outcome_kind::not_run ? promise_state::waiting : promise_state::unknown;
    }
    promises.unwritten_outcomes[it.key] = std::move(it);
}

std::vector<std::string> write_outcomes(promise_table& promises, object_store& store, std::uint64_t now_ms) {
    std::vector<std::string> expired;
    std::vector<std::string> names;
    for (const auto& [name, it] : promises.held_batches) {
        names.push_back(name);
    }
    const auto keep_ms =
        static_cast<std::uint64_t>(std::chrono::milliseconds{promises.limits.batch_retention}.count());
    for (const auto& name : names) {
        if (promises.held_batches.at(name).version == 0 && !reload(promises, store, name)) {
            continue;
        }
        if (!promises.held_batches.contains(name)) {
            continue;
        }
        auto changed = promises.held_batches.at(name).batch;
        const bool holder = changed.holder == promises.self;
        std::vector<std::string> recorded_keys;
        std::vector<std::string> expired_keys;
        for (auto& it : changed.items) {
            const auto found = promises.unwritten_outcomes.find(it.key);
            const bool claimant = it.claimant == promises.self &&
                                  (it.state == promise_state::claimed || it.state == promise_state::unknown);
            if (found != promises.unwritten_outcomes.end() && !claimant) {
                // The call is no longer this node's claim, so the stored state is kept and the outcome
                // dropped.
                promises.unwritten_outcomes.erase(found);
                promises.started_keys.erase(it.key);
            } else if (found != promises.unwritten_outcomes.end()) {
                it.state = state_after_run(found->second.state, it);
                it.status = found->second.status;
                it.answer = found->second.answer;
                recorded_keys.push_back(it.key);
            }
            if (holder && it.state == promise_state::waiting && it.expires_ms <= now_ms) {
                it.state = promise_state::expired;
                expired_keys.push_back(it.key);
            }
        }
        const bool all_ended = std::all_of(changed.items.begin(), changed.items.end(), is_final);
        if (recorded_keys.empty() && expired_keys.empty()) {
            if (holder && all_ended && changed.created_ms + keep_ms < now_ms) {
                const auto removed = store.remove(name, promises.held_batches.at(name).version);
                if (removed || removed.error().kind == error_kind::not_found) {
                    promises.held_batches.erase(name);
                }
            }
            continue;
        }
        if (!write_batch(promises, store, name, changed)) {
            continue;
        }
        for (const auto& it : recorded_keys) {
            promises.unwritten_outcomes.erase(it);
            promises.started_keys.erase(it);
        }
        expired.insert(expired.end(), expired_keys.begin(), expired_keys.end());
        if (all_ended) {
            auto& held = promises.held_batches.at(name);
            promises.reserved_bytes -= held.bytes;
            held.bytes = 0;
        }
    }
    return expired;
}

result<void> adopt_batch(promise_table& promises, object_store& store, const std::string& name) {
    const auto object = store.get(name);
    if (!object) {
        return object.error();
    }
    auto batch = batch_from_json(object.value().value);
    if (!batch) {
        return batch.error();
    }
    auto changed = batch.value();
    changed.holder = promises.self;
    for (auto& it : changed.items) {
        if (it.state == promise_state::claimed) {
            it.state = state_after_run(promise_state::unknown, it); // The former holder may have run it.
        }
    }
    const auto bytes = object.value().value.size();
    promises.held_batches[name] = {std::move(batch.value()), object.value().version, bytes};
    promises.reserved_bytes += bytes;
    if (!write_batch(promises, store, name, changed) ||
        promises.held_batches.at(name).batch.holder != promises.self) {
        erase_held_batch(promises, name);
        return error{error_kind::conflict, "batch \"" + name + "\" was changed by another node",
                     "no action needed; adoption is retried"};
    }
    return success();
}

std::string batch_creator(std::string_view object_name) {
    const auto last = object_name.rfind('/');
    if (last == std::string_view::npos || last == 0) {
        return {};
    }
    const auto start = object_name.rfind('/', last - 1);
    return std::string{object_name.substr(start + 1, last - start - 1)};
}

result<promise_item> find_promise(object_store& store, std::string_view key) {
    const auto mac_dot = key.rfind('.');
    const auto serial_dot = mac_dot == std::string_view::npos ? mac_dot : key.rfind('.', mac_dot - 1);
    const auto missing = error{error_kind::not_found, "no promise is stored under this key",
                               "it may have been removed an hour after the request; check with the service"};
    if (serial_dot == std::string_view::npos) {
        return missing;
    }
    const auto owner = key.substr(0, serial_dot);
    const auto names = store.list("promises/");
    if (!names) {
        return names.error();
    }
    for (const auto& it : names.value().objects) {
        if (batch_creator(it.name) != owner) {
            continue;
        }
        const auto object = store.get(it.name);
        if (!object) {
            if (object.error().kind == error_kind::not_found) {
                continue;
            }
            return object.error();
        }
        const auto batch = batch_from_json(object.value().value);
        if (!batch) {
            return batch.error();
        }
        for (const auto& item : batch.value().items) {
            if (item.key == key) {
                return item;
            }
        }
    }
    return missing;
}

std::map<std::string, std::size_t> waiting_services(const promise_table& promises) {
    std::map<std::string, std::size_t> services;
    for (const auto& [name, held] : promises.held_batches) {
        for (const auto& it : held.batch.items) {
            const bool ours = it.state == promise_state::claimed && it.claimant == promises.self &&
                              !promises.started_keys.contains(it.key);
            if (held.batch.holder == promises.self && (it.state == promise_state::waiting || ours)) {
                ++services[it.service];
            }
        }
    }
    return services;
}

} // namespace baobabswitch
