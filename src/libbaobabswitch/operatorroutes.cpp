#include "operatorroutes.h"

#include "adminconfig.h"
#include "configschema.h"
#include "consolepage.h"
#include "log.h"
#include "looprequest.h"
#include "operatorauth.h"
#include "peermessages.h"
#include "platformclient.h"

#include <httplib.h>

#include <map>
#include <mutex>
#include <semaphore>

namespace baobabswitch {

namespace {

/// Maximum number of concurrent requests to the platform. It is less than the number of server threads, so
/// that /health and /metrics respond while the platform does not.
constexpr std::ptrdiff_t max_store_requests = 4;
/// Lifetime of a cached response to a read request. The cache keeps open consoles, and clients without a
/// token, from loading the platform.
constexpr milliseconds cache_ttl{1000};
/// Audit responses have one of two lengths, which limits the number of cache entries and reads. A
/// response with 200 entries takes at most 160 KB.
constexpr std::size_t short_audit_limit = 20;
constexpr std::size_t long_audit_limit = 200;
/// Room for a document of 1 MB and the JSON object around it.
constexpr std::size_t max_body_bytes = 2 * 1024 * 1024;

constexpr auto json_type = "application/json";
constexpr auto content_security_policy =
    "default-src 'none'; script-src 'unsafe-inline'; style-src 'unsafe-inline'; "
    "connect-src 'self'; frame-ancestors 'none'; base-uri 'none'; form-action 'none'";

/// Runs operators' requests on the platform: limits how many run at once and caches responses.
class store_gateway {
public:
    explicit store_gateway(const std::optional<endpoint>& platform)
        : store_(platform ? make_platform_client(*platform) : nullptr) {}

    /// Runs an operation on the platform. Returns a 503 response if the settings name no platform or too many
    /// operations are in progress.
    http_response run(const std::function<http_response(object_store&)>& operation) {
        if (!store_) {
            return json_response(
                503, error_body({error_kind::store_unavailable, "this node's settings name no platform",
                                 "set \"platform\" in the node's settings"}));
        }
        if (!free_slots_.try_acquire()) {
            return json_response(503, error_body({error_kind::overloaded,
                                                  "too many operators' requests are waiting for the platform",
                                                  "try again in a moment"}));
        }
        auto answer = operation(*store_);
        free_slots_.release();
        return answer;
    }

    /// Returns the cached response for the key if it is younger than `cache_ttl`, else runs the operation and
    /// caches its response.
    http_response run_cached(const std::string& key,
                             const std::function<http_response(object_store&)>& operation) {
        {
            const std::lock_guard lock{mutex_};
            const auto found = cache_.find(key);
            if (found != cache_.end() && clock::now() - found->second.stored_at < cache_ttl) {
                return found->second.answer;
            }
        }
        auto answer = run(operation);
        const std::lock_guard lock{mutex_};
        cache_[key] = {clock::now(), answer};
        return answer;
    }

    /// Drops all cached responses; called after a change.
    void invalidate() {
        const std::lock_guard lock{mutex_};
        cache_.clear();
    }

private:
    struct cache_entry {
        time_point stored_at;
        http_response answer;
    };

    std::unique_ptr<object_store> store_;
    std::counting_semaphore<max_store_requests> free_slots_{max_store_requests};
    std::mutex mutex_;
    std::map<std::string, cache_entry> cache_;
};

void send(httplib::Response& response, const http_response& answer) {
    response.status = static_cast<int>(answer.status);
    response.set_content(answer.body, json_type);
}

/// Reports whether a request has a token whose digest the settings list; if not, sends a 401 response.
bool require_operator(const node_state& node, const httplib::Request& request, httplib::Response& response) {
    if (has_operator_token(node.settings.operator_tokens, request.get_header_value("Authorization"))) {
        return true;
    }
    node.metrics.count_event(error_name(error_kind::unauthorized));
    response.set_header("WWW-Authenticate", "Bearer");
    send(response,
         json_response(401, error_body({error_kind::unauthorized, "the operator's token is not valid",
                                        "send Authorization: Bearer TOKEN; the token's digest has to be "
                                        "in security.operator_tokens of the node's settings"})));
    return false;
}

std::uint64_t active_version(const node_state& node) {
    const auto version = run_on_loop<std::uint64_t>(node.loop, [&node] { return node.config->version; });
    return version.value_or(0);
}

void add_config_routes(httplib::Server& server, node_state& node,
                       const std::shared_ptr<store_gateway>& store) {
    const auto accepted = [&node, store] {
        return store->run_cached(
            "config", [&](object_store& it) { return handle_get_config(it, active_version(node)); });
    };
    server.Get("/v1/config", [accepted](const httplib::Request&, httplib::Response& response) {
        send(response, accepted());
    });
    server.Put("/v1/config", [&node, store](const httplib::Request& request, httplib::Response& response) {
        if (!require_operator(node, request, response)) {
            return;
        }
        const auto answer = store->run([&](object_store& it) {
            return handle_put_config(it, request.body, active_version(node),
                                     std::chrono::system_clock::now());
        });
        store->invalidate();
        log(log_level::info, "operators", "configuration change request processed",
            {{"status", std::to_string(answer.status)}, {"from", request.remote_addr}});
        send(response, answer);
    });
    server.Post("/v1/changes", [accepted](const httplib::Request& request, httplib::Response& response) {
        send(response, handle_preview_changes(accepted(), request.body));
    });
    server.Get("/v1/audit", [store](const httplib::Request& request, httplib::Response& response) {
        const auto requested = parse_number(request.get_param_value("limit")).value_or(short_audit_limit);
        const auto limit = requested <= short_audit_limit ? short_audit_limit : long_audit_limit;
        send(response, store->run_cached("audit" + std::to_string(limit),
                                         [&](object_store& it) { return handle_audit(it, limit); }));
    });
    server.Get("/v1/rollout", [store](const httplib::Request&, httplib::Response& response) {
        send(response, store->run_cached("rollout", [](object_store& it) {
            return handle_rollout(it, std::chrono::system_clock::now());
        }));
    });
}

} // namespace

void add_operator_routes(httplib::Server& server, node_state& node, std::function<void()> drain) {
    server.set_payload_max_length(max_body_bytes);
    add_config_routes(server, node, std::make_shared<store_gateway>(node.settings.platform));
    server.Get("/v1/schema", [](const httplib::Request&, httplib::Response& response) {
        response.set_content(schema_to_json().dump(), json_type);
    });
    server.Get("/console", [](const httplib::Request&, httplib::Response& response) {
        response.set_header("Content-Security-Policy", content_security_policy);
        response.set_header("Cache-Control", "no-store");
        response.set_content(console_page.data(), console_page.size(), "text/html; charset=utf-8");
    });
    server.Post("/v1/drain", [&node, drain = std::move(drain)](const httplib::Request& request,
                                                               httplib::Response& response) {
        if (!require_operator(node, request, response)) {
            return;
        }
        log(log_level::info, "operators", "drain requested", {{"from", request.remote_addr}});
        node.loop.post(drain);
        send(response,
             json_response(200, nlohmann::json{{"node", node.settings.node_id}, {"draining", true}}.dump()));
    });
}

} // namespace baobabswitch
