#include "settings.h"

#include "files.h"

#include <toml++/toml.h>

#include <set>

namespace baobabswitch {

namespace {

constexpr std::int64_t max_body_bytes = 16 * 1024 * 1024;
constexpr std::size_t token_digest_digits = 64;
constexpr std::int64_t max_header_bytes = 256 * 1024;

std::string position(std::string_view file_name, const toml::source_region& where) {
    return std::string{file_name} + ":" + std::to_string(where.begin.line) + ": ";
}

bool is_name(std::string_view text) {
    return !text.empty() && text.size() <= 64 &&
           text.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-") == std::string_view::npos;
}

/// Reads the keys of one table and records the first error, so that callers don't check each key.
class table_reader {
public:
    table_reader(const toml::table& table, std::string prefix, std::string_view file_name,
                 std::optional<error>& first_error)
        : table_(table),
          prefix_(std::move(prefix)),
          file_name_(file_name),
          first_error_(first_error) {}

    void name(std::string_view key, std::string& value) {
        const auto* node = find(key, true);
        if (node == nullptr) {
            return;
        }
        const auto text = node->value<std::string>();
        if (!text || !is_name(*text)) {
            fail(*node, key, "is not a name", "use 1 to 64 of the characters a-z, 0-9 and -");
            return;
        }
        value = *text;
    }

    void text(std::string_view key, std::string& value) {
        if (const auto* node = find(key, false)) {
            const auto it = node->value<std::string>();
            if (!it) {
                fail(*node, key, "is not a string", "put the value in double quotes");
                return;
            }
            value = *it;
        }
    }

    template <class Assign>
    void address(std::string_view key, bool required, Assign assign) {
        const auto* node = find(key, required);
        if (node == nullptr) {
            return;
        }
        assign_address(*node, key, assign);
    }

    template <class Assign>
    void addresses(std::string_view key, Assign assign) {
        each(key, "is not a list of addresses", "write for example [\"127.0.0.1:7400\"]",
             [&](const toml::node& it) { assign_address(it, key, assign); });
    }

    template <class Use>
    void each(std::string_view key, std::string_view problem, std::string_view remedy, Use use) {
        const auto* node = find(key, false);
        if (node == nullptr) {
            return;
        }
        if (!node->is_array()) {
            fail(*node, key, problem, remedy);
            return;
        }
        for (const auto& it : *node->as_array()) {
            use(it);
        }
    }

    template <class Number>
    void number(std::string_view key, std::int64_t min_value, std::int64_t max_value, Number& value) {
        const auto* node = find(key, false);
        if (node == nullptr) {
            return;
        }
        const auto n = node->value<std::int64_t>();
        if (!node->is_integer() || !n || *n < min_value || *n > max_value) {
            fail(*node, key, "is out of range",
                 "write a whole number from " + std::to_string(min_value) + " to " +
                     std::to_string(max_value));
            return;
        }
        value = static_cast<Number>(*n);
    }

    const toml::table* table(std::string_view key, bool required) {
        const auto* node = find(key, required);
        if (node == nullptr) {
            return nullptr;
        }
        if (!node->is_table()) {
            fail(*node, key, "is not a table", "write [" + prefix_ + std::string{key} + "]");
            return nullptr;
        }
        return node->as_table();
    }

    void fail(const toml::node& where, std::string_view key, std::string_view problem,
              std::string_view remedy) {
        set_error(position(file_name_, where.source()) + "\"" + prefix_ + std::string{key} + "\" " +
                      std::string{problem},
                  remedy);
    }

    /// Fails for keys of the table that are not settings. Call this after reading all settings of the table.
    void reject_unknown_keys() {
        for (const auto& [key, value] : table_) {
            if (!known_keys_.contains(std::string{key.str()})) {
                std::string names;
                for (const auto& it : known_keys_) {
                    names += names.empty() ? it : ", " + it;
                }
                fail(value, key.str(), "is not a setting", "remove it or use one of: " + names);
            }
        }
    }

private:
    template <class Assign>
    void assign_address(const toml::node& node, std::string_view key, Assign assign) {
        const auto it = parse_endpoint(node.value<std::string>().value_or(""));
        if (!it) {
            fail(node, key, "is not an address", it.error().remedy);
            return;
        }
        assign(it.value());
    }

    const toml::node* find(std::string_view key, bool required) {
        known_keys_.insert(std::string{key});
        const auto* node = table_.get(key);
        if (node == nullptr && required) {
            set_error(position(file_name_, table_.source()) + "\"" + prefix_ + std::string{key} +
                          "\" is missing",
                      "add it; docs/operators/settings.md explains it");
        }
        return node;
    }

    void set_error(std::string message, std::string_view remedy) {
        if (!first_error_) {
            first_error_ = error{error_kind::bad_settings, std::move(message), std::string{remedy}};
        }
    }

    const toml::table& table_;
    std::string prefix_;
    std::string_view file_name_;
    std::optional<error>& first_error_;
    std::set<std::string> known_keys_;
};

void read_security(const toml::table& table, std::string_view file_name, node_settings& settings,
                   std::optional<error>& first_error) {
    table_reader reader{table, "security.", file_name, first_error};
    std::string active;
    reader.name("active", active);
    std::vector<std::pair<std::string, std::string>> keys;
    reader.each("keys", "is not a list of keys", "write [[security.keys]] with id and secret",
                [&](const toml::node& it) {
                    if (!it.is_table()) {
                        reader.fail(it, "keys", "contains an element that is not a table",
                                    "write [[security.keys]]");
                        return;
                    }
                    table_reader key{*it.as_table(), "security.keys.", file_name, first_error};
                    std::string id;
                    std::string secret;
                    key.name("id", id);
                    key.text("secret", secret);
                    key.reject_unknown_keys();
                    keys.emplace_back(id, secret);
                });
    reader.each("operator_tokens", "is not a list of digests", "write for example [\"…\"]",
                [&](const toml::node& it) {
                    auto digest = it.value_or(std::string{});
                    if (digest.size() != token_digest_digits ||
                        digest.find_first_not_of("0123456789abcdef") != std::string::npos) {
                        reader.fail(it, "operator_tokens", "contains an element that is not a digest",
                                    "write 64 hexadecimal digits: printf %s TOKEN | b2sum -l 256");
                        return;
                    }
                    settings.operator_tokens.push_back(std::move(digest));
                });
    reader.reject_unknown_keys();
    if (first_error) {
        return;
    }
    auto ring = make_key_ring(keys, active);
    if (!ring) {
        first_error = ring.error();
        first_error->message = position(file_name, table.source()) + first_error->message;
        return;
    }
    settings.keys = std::move(ring.value());
}

} // namespace

result<node_settings> parse_settings(std::string_view text, std::string_view file_name) {
    toml::table root;
    try {
        root = toml::parse(text, file_name);
    } catch (const toml::parse_error& ex) {
        return error{error_kind::bad_settings,
                     position(file_name, ex.source()) + std::string{ex.description()},
                     "correct the TOML syntax on that line"};
    }
    node_settings settings;
    std::optional<error> first_error;
    table_reader reader{root, "", file_name, first_error};
    reader.name("node", settings.node_id);
    reader.name("domain", settings.domain);
    reader.address("listen", true, [&](const endpoint& it) { settings.listen = it; });
    settings.advertise = settings.listen;
    reader.address("advertise", false, [&](const endpoint& it) { settings.advertise = it; });
    reader.address("admin", true, [&](const endpoint& it) { settings.admin = it; });
    reader.address("platform", false, [&](const endpoint& it) { settings.platform = it; });
    reader.addresses("seeds", [&](const endpoint& it) { settings.seeds.push_back(it); });
    reader.text("source_host", settings.source_host);
    reader.text("initial_document", settings.initial_document);
    std::string level = "info";
    reader.text("log", level);
    settings.log = parse_log_level(level);
    if (const auto* table = reader.table("limits", false)) {
        table_reader limits{*table, "limits.", file_name, first_error};
        limits.number("body_bytes", 1024, max_body_bytes, settings.limits.body_bytes);
        limits.number("header_bytes", 1024, max_header_bytes, settings.limits.header_bytes);
        limits.number("header_count", 16, 1024, settings.limits.header_count);
        limits.number("connections", 16, 65536, settings.max_connections);
        limits.number("peer_connections", 1, 1024, settings.peer_connections);
        limits.reject_unknown_keys();
    }
    if (const auto* table = reader.table("security", true)) {
        read_security(*table, file_name, settings, first_error);
    }
    reader.reject_unknown_keys();
    if (first_error) {
        return *first_error;
    }
    return settings;
}

result<node_settings> load_settings(const std::string& file_name) {
    auto text = read_file(file_name);
    if (!text) {
        return text.error();
    }
    return parse_settings(text.value(), file_name);
}

} // namespace baobabswitch
