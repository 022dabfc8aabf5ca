#include "nodeclient.h"

#include <httplib.h>

namespace baobabswitch {

namespace {

using json = nlohmann::json;

constexpr std::chrono::seconds node_timeout{2};

httplib::Client make_client(const endpoint& node) {
    httplib::Client client{node.host, node.port};
    client.set_connection_timeout(node_timeout);
    client.set_read_timeout(node_timeout);
    client.set_write_timeout(node_timeout);
    return client;
}

std::string string_field(const json& body, const char* name) {
    const auto it = body.find(name);
    return it != body.end() && it->is_string() ? it->get<std::string>() : std::string{};
}

result<json> parse_response(const endpoint& node, const std::string& path, const httplib::Result& outcome,
                            bool has_side_effects) {
    const auto node_label = "node " + to_string(node);
    if (!outcome) {
        const bool sent = outcome.error() != httplib::Error::Connection &&
                          outcome.error() != httplib::Error::ConnectionTimeout;
        const auto cause = node_label + " does not answer (" + httplib::to_string(outcome.error()) + ")";
        if (has_side_effects && sent) {
            return error{error_kind::outcome_unknown, cause,
                         "ask for its status before repeating the command"};
        }
        return error{error_kind::store_unavailable, cause,
                     "check the admin address and that baobabswitchd runs there"};
    }
    auto body = json::parse(outcome->body, nullptr, false);
    if (outcome->status == 200 && body.is_object()) {
        return body;
    }
    if (outcome->status == 401 || outcome->status == 403) {
        return error{error_kind::unauthorized, node_label + " refused the token",
                     "set BAOBABSWITCH_TOKEN or --token-file to a token whose digest is in the node's "
                     "security.operator_tokens"};
    }
    const auto message = body.is_object() ? string_field(body, "message") : std::string{};
    const auto remedy = body.is_object() ? string_field(body, "remedy") : std::string{};
    const auto kind = outcome->status == 404   ? error_kind::not_found
                      : outcome->status == 503 ? error_kind::store_unavailable
                                               : error_kind::internal;
    return error{kind,
                 node_label + " answered " + std::to_string(outcome->status) + " to " + path +
                     (message.empty() ? "" : ": " + message),
                 remedy.empty() ? "check that the node runs this version" : remedy};
}

} // namespace

result<json> get_from_node(const endpoint& node, const std::string& path) {
    auto client = make_client(node);
    return parse_response(node, path, client.Get(path), false);
}

result<json> post_to_node(const endpoint& node, const std::string& path, const std::string& token) {
    auto client = make_client(node);
    client.set_bearer_token_auth(token);
    return parse_response(node, path, client.Post(path), true);
}

} // namespace baobabswitch
