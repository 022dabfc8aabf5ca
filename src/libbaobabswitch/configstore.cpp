#include "configstore.h"

#include "configdocument.h"
#include "httpmessage.h"
#include "jsontext.h"
#include "mac.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <map>

namespace baobabswitch {

namespace {

using json = nlohmann::json;

constexpr std::size_t write_id_bytes = 16;
/// Attempts of one apply_change() call to resolve a lost answer. The caller retries the call after a delay.
constexpr int max_attempts = 3;

/// Maximum number of changes that are searched for the one that caused a conflict.
constexpr std::size_t max_searched_entries = max_recent_entries + 4 * audit_block_entries;

using entries_by_version = std::map<std::uint64_t, audit_entry>;

error damaged_object_error(std::string_view object) {
    return {error_kind::bad_document, "object \"" + std::string{object} + "\" in the platform is damaged",
            "restore it from a copy; nodes keep the version that they have"};
}

std::string text_member(const json& object, const char* name) {
    const auto it = object.find(name);
    return it != object.end() && it->is_string() ? it->get<std::string>() : std::string{};
}

std::optional<audit_entry> entry_from_json(const json& object) {
    const auto version = object.find("version");
    if (!object.is_object() || version == object.end() || !version->is_number_unsigned()) {
        return std::nullopt;
    }
    audit_entry entry{version->get<std::uint64_t>(), text_member(object, "write_id"),
                      text_member(object, "digest"), text_member(object, "author"),
                      text_member(object, "reason"), text_member(object, "time")};
    if (entry.version == 0 || entry.write_id.empty()) {
        return std::nullopt;
    }
    return entry;
}

std::optional<std::vector<audit_entry>> entries_from_json(const json& list) {
    if (!list.is_array()) {
        return std::nullopt;
    }
    std::vector<audit_entry> entries;
    for (const auto& it : list) {
        auto entry = entry_from_json(it);
        if (!entry) {
            return std::nullopt;
        }
        entries.push_back(std::move(*entry));
    }
    return entries;
}

json entries_to_json(const std::vector<audit_entry>& entries) {
    auto list = json::array();
    for (const auto& it : entries) {
        list.push_back(to_json(it));
    }
    return list;
}

/// Returns the name of the audit object that starts with a version; names sort by version.
std::string audit_name(std::uint64_t first_version) {
    std::array<char, 24> buf{};
    std::snprintf(buf.data(), buf.size(), "%012llu", static_cast<unsigned long long>(first_version));
    return std::string{audit_prefix} + buf.data();
}

std::uint64_t first_version_of(std::string_view name) {
    return parse_number(name.substr(audit_prefix.size())).value_or(0);
}

/// Adds the entries of the newest audit objects, back to the one that holds `oldest_needed` or until there
/// are `limit` entries.
result<void> add_audit_objects(object_store& store, std::uint64_t oldest_needed, std::size_t limit,
                               entries_by_version& entries) {
    const auto listed = store.list(audit_prefix);
    if (!listed) {
        return listed.error();
    }
    const auto& objects = listed.value().objects;
    for (auto it = objects.rbegin(); it != objects.rend() && entries.size() < limit; ++it) {
        const auto object = store.get(it->name);
        if (!object) {
            return object.error();
        }
        const auto block = entries_from_json(parse_json_or_discard(object.value().value));
        if (!block) {
            return damaged_object_error(it->name);
        }
        for (const auto& entry : *block) {
            entries.emplace(entry.version, entry);
        }
        if (first_version_of(it->name) <= oldest_needed) {
            break;
        }
    }
    return success();
}

/// Returns the accepted changes after a version, oldest first; the oldest are left out beyond `limit`.
result<entries_by_version> changes_after(object_store& store, const stored_config& stored,
                                         std::uint64_t version, std::size_t limit) {
    entries_by_version entries;
    for (const auto& it : stored.recent) {
        entries.emplace(it.version, it);
    }
    if (stored.recent.front().version > version + 1) {
        const auto added = add_audit_objects(store, version + 1, limit, entries);
        if (!added) {
            return added.error();
        }
    }
    entries.erase(entries.begin(), entries.upper_bound(version));
    return entries;
}

bool is_plain_text(const std::string& text, std::size_t max_bytes) {
    const bool printable = std::none_of(text.begin(), text.end(), [](unsigned char it) { return it < ' '; });
    if (!printable || text.empty() || text.size() > max_bytes) {
        return false;
    }
    try {
        return !json(text).dump().empty();
    } catch (const json::type_error&) {
        return false; // not UTF-8
    }
}

result<void> validate(const config_change& change) {
    const auto config = configuration_from_json(change.document);
    if (!config) {
        return config.error();
    }
    if (!is_plain_text(change.author, max_author_bytes)) {
        return error{error_kind::malformed, "the author is missing or malformed",
                     "name the author in 1 to 64 bytes on one line"};
    }
    if (!is_plain_text(change.reason, max_reason_bytes)) {
        return error{error_kind::malformed, "the reason is missing or malformed",
                     "state the reason in 1 to 500 bytes on one line"};
    }
    if (!is_plain_text(change.write_id, max_author_bytes)) {
        return error{error_kind::malformed, "the write identity is missing or malformed",
                     "send a write_id of 1 to 64 characters that is new for each change"};
    }
    return success();
}

error conflict_error(const audit_entry& first) {
    return {error_kind::conflict,
            first.author + " was first: version " + std::to_string(first.version) + " at " + first.time +
                " (\"" + first.reason + "\")",
            "read the configuration again, compare and repeat the change"};
}

error unknown_outcome_error(const config_change& change, const error& cause) {
    return {error_kind::outcome_unknown,
            "the change \"" + change.write_id + "\" may or may not have been accepted: " + cause.message,
            "repeat it with the same write identity when the platform answers; it is never written twice"};
}

/// Returns the error of a change that could not be completed: the cause if nothing was changed, or an unknown
/// outcome if an earlier attempt may have taken effect.
error interruption_error(const config_change& change, const error& cause) {
    return change.may_be_written ? unknown_outcome_error(change, cause) : cause;
}

/// Returns the greatest version in the audit trail; needed only while there is no configuration object.
result<std::uint64_t> last_audited_version(object_store& store) {
    entries_by_version entries;
    const auto added = add_audit_objects(store, UINT64_MAX, SIZE_MAX, entries);
    if (!added) {
        return added.error();
    }
    return entries.empty() ? 0 : entries.rbegin()->first;
}

/// Moves the oldest block of a full `recent` to its audit object. The object's name and content depend only
/// on the configuration object, so concurrent and repeated writes are identical.
result<void> move_oldest_block(object_store& store, std::vector<audit_entry>& recent) {
    if (recent.size() < max_recent_entries) {
        return success();
    }
    const auto end = recent.begin() + audit_block_entries;
    const std::vector<audit_entry> block{recent.begin(), end};
    const auto name = audit_name(block.front().version);
    const auto written = store.put(name, entries_to_json(block).dump(), 0);
    if (!written && written.error().kind == error_kind::outcome_unknown) {
        const auto read = store.get(name);
        if (!read) {
            return error{error_kind::store_unavailable, "the audit trail can't be written",
                         "nothing was changed; try again when the platform answers"};
        }
    } else if (!written && written.error().kind != error_kind::conflict) {
        return written.error();
    }
    recent.erase(recent.begin(), end);
    return success();
}

std::string object_value(const audit_entry& entry, const json& document,
                         const std::vector<audit_entry>& recent) {
    auto object = to_json(entry);
    object["document"] = document;
    object["recent"] = entries_to_json(recent);
    return object.dump();
}

/// State read from the platform before an attempt to write a change.
struct attempt_base {
    std::optional<audit_entry> accepted; ///< an earlier attempt took effect
    std::uint64_t version = 0;           ///< greatest version known
    std::uint64_t object_version = 0;
    std::vector<audit_entry> recent;
};

/// Reads the state that a change is applied to. Fails with conflict when another change was accepted first.
result<attempt_base> read_base(object_store& store, const config_change& change) {
    const auto stored = read_config(store);
    if (!stored && stored.error().kind == error_kind::not_found) {
        if (change.base_version != 0) {
            return error{error_kind::conflict, "the configuration object no longer exists",
                         "check who removed the object \"" + std::string{config_object_name} + "\""};
        }
        const auto audited = last_audited_version(store);
        if (!audited) {
            return audited.error();
        }
        return attempt_base{std::nullopt, audited.value(), 0, {}};
    }
    if (!stored) {
        return stored.error();
    }
    const auto& it = stored.value();
    if (it.change.version == change.base_version) {
        return attempt_base{std::nullopt, it.change.version, it.object_version, it.recent};
    }
    // A change that can't have been written is not in the audit trail. The trail is then searched only for
    // the conflicting change, so the search is limited.
    const auto limit = change.may_be_written ? SIZE_MAX : max_searched_entries;
    const auto others = changes_after(store, it, change.base_version, limit);
    if (!others) {
        return others.error();
    }
    for (const auto& [version, entry] : others.value()) {
        if (entry.write_id == change.write_id) {
            return attempt_base{entry, version, it.object_version, {}};
        }
    }
    if (others.value().empty()) {
        return error{error_kind::conflict,
                     "the change starts from version " + std::to_string(change.base_version) +
                         ", the platform holds " + std::to_string(it.change.version),
                     "read the configuration again and repeat the change"};
    }
    return conflict_error(others.value().begin()->second);
}

} // namespace

json to_json(const audit_entry& entry) {
    return {{"version", entry.version}, {"write_id", entry.write_id}, {"digest", entry.digest},
            {"author", entry.author},   {"reason", entry.reason},     {"time", entry.time}};
}

std::string utc_time(std::chrono::system_clock::time_point time) {
    const auto seconds = std::chrono::system_clock::to_time_t(time);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> buf{};
    std::strftime(buf.data(), buf.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return buf.data();
}

std::string make_write_id() {
    return random_hex(write_id_bytes);
}

result<stored_config> parse_stored_config(std::string_view value, std::uint64_t object_version) {
    const auto object = parse_json_or_discard(value);
    if (!object.is_object() || !object.contains("document") || !object.contains("recent")) {
        return damaged_object_error(config_object_name);
    }
    const auto change = entry_from_json(object);
    auto recent = entries_from_json(object["recent"]);
    if (!change || !recent || recent->empty() || recent->back().version != change->version ||
        document_digest(object["document"]) != change->digest) {
        return damaged_object_error(config_object_name);
    }
    return stored_config{*change, object["document"], std::move(*recent), object_version};
}

result<stored_config> read_config(object_store& store) {
    const auto object = store.get(config_object_name);
    if (!object) {
        return object.error();
    }
    return parse_stored_config(object.value().value, object.value().version);
}

result<std::vector<audit_entry>> read_audit(object_store& store, std::size_t limit) {
    // The configuration is read before the audit objects: entries moved in between are then read twice, not
    // missed.
    const auto stored = read_config(store);
    if (!stored && stored.error().kind != error_kind::not_found) {
        return stored.error();
    }
    entries_by_version entries;
    if (stored) {
        for (const auto& it : stored.value().recent) {
            entries.emplace(it.version, it);
        }
    }
    if (entries.size() < limit) {
        const auto added = add_audit_objects(store, 0, limit, entries);
        if (!added) {
            return added.error();
        }
    }
    std::vector<audit_entry> newest_first;
    for (auto it = entries.rbegin(); it != entries.rend() && newest_first.size() < limit; ++it) {
        newest_first.push_back(it->second);
    }
    return newest_first;
}

result<audit_entry> apply_change(object_store& store, config_change& change) {
    if (const auto valid = validate(change); !valid) {
        return valid.error();
    }
    const auto digest = document_digest(change.document);
    error last{error_kind::store_unavailable, "the platform's answers are inconsistent", "try again"};
    for (int n = 0; n < max_attempts; ++n) {
        auto base = read_base(store, change);
        if (!base && base.error().kind == error_kind::conflict) {
            return base.error(); // An earlier attempt still in flight will fail its version check.
        }
        if (!base) {
            return interruption_error(change, base.error());
        }
        if (base.value().accepted) {
            return *base.value().accepted;
        }
        auto& recent = base.value().recent;
        if (const auto moved = move_oldest_block(store, recent); !moved) {
            return interruption_error(change, moved.error());
        }
        const audit_entry entry{std::max(base.value().version, change.floor_version) + 1,
                                change.write_id,
                                digest,
                                change.author,
                                change.reason,
                                change.time};
        recent.push_back(entry);
        const auto value = object_value(entry, change.document, recent);
        if (value.size() > max_object_bytes) {
            return error{error_kind::too_large, "the document is too large for one object of 1 MB",
                         "remove kinds or services that are no longer used"};
        }
        const auto written = store.put(config_object_name, value, base.value().object_version);
        if (written) {
            return entry;
        }
        last = written.error();
        if (last.kind == error_kind::outcome_unknown) {
            change.may_be_written = true;
        } else if (last.kind != error_kind::conflict) {
            return interruption_error(change, last);
        }
    }
    return interruption_error(change, last);
}

} // namespace baobabswitch
