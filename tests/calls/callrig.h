#pragma once

#include "eventloopimpl.h"
#include "node.h"
#include "targetside.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <unistd.h>

/// Runs nodes and fake targets on one event loop, on loopback addresses that are specific to this process.
namespace callrig {

using namespace baobabswitch;

inline constexpr auto document = R"({"schema": 1,
  "services": {"desk": {"slots": 2, "connections": 20, "queue": 4}},
  "kinds": {
    "look": {"service": "desk", "importance": 3, "timeout_ms": 2000, "idempotent": true},
    "book": {"service": "desk", "importance": 8, "timeout_ms": 2000, "idempotent": false}},
  "policy": {"retry_budget": 2}})";

/// Returns 127.a.b.n:7400 with a and b from the process id, so that concurrent test runs don't collide.
inline endpoint address(unsigned n) {
    const auto id = static_cast<unsigned>(::getpid());
    return {"127." + std::to_string(100 + id % 100) + "." + std::to_string(id / 100 % 250) + "." +
                std::to_string(n),
            7400};
}

using target_handler = std::function<void(const http_request&, const std::shared_ptr<http_exchange>&)>;

struct test_cluster {
    event_loop loop;
    invariant_table invariants;
    std::string violation;
    node_metrics metrics{invariants};
    std::vector<std::unique_ptr<node>> nodes;
    std::vector<std::unique_ptr<http_server>> targets;
    http_client client{loop, {}};
    std::map<std::string, int> runs; ///< number of executions, by request id and path

    explicit test_cluster(unsigned n) {
        invariants.on_violation = [this](invariant which, std::string_view detail) {
            violation = std::string{invariant_name(which)} + ": " + std::string{detail};
        };
        for (unsigned i = 1; i <= n; ++i) {
            const auto listen = to_string(address(i));
            auto settings =
                parse_settings("node = \"n" + std::to_string(i) + "\"\ndomain = \"d\"\nlisten = \"" + listen +
                                   "\"\nadmin = \"127.0.0.1:1\"\n[security]\n"
                                   "active = \"k\"\n[[security.keys]]\nid = \"k\"\nsecret = \"" +
                                   std::string(64, 'a') + "\"\n",
                               "test");
            auto created = node::create(loop, settings.value(), invariants, metrics);
            REQUIRE(created);
            nodes.push_back(std::move(created.value()));
            nodes.back()->state().config =
                std::make_shared<configuration>(parse_configuration(document).value());
        }
        share_members();
    }

    node_state& at(unsigned n) {
        return nodes.at(n - 1)->state();
    }

    /// Merges the member entries of all nodes into each node.
    void share_members() {
        for (auto& to : nodes) {
            for (auto& from : nodes) {
                auto& state = from->state();
                merge(to->state().members, state.members.at(state.settings.node_id));
            }
            update_targets(to->state().target_choice, to->state().members, clock::now());
        }
    }

    http_response announce(unsigned n, const nlohmann::json& body) {
        auto response = call(n, {"POST", "/n/announce", {}, body.dump()});
        share_members();
        return response;
    }

    void announce_target(unsigned n, const endpoint& target, const char* state = "up") {
        announce(n, {{"service", "desk"},
                     {"address", to_string(target)},
                     {"slots", 2},
                     {"connections", 20},
                     {"state", state}});
    }

    /// Starts the local target of a node. `fn` handles its requests; cancellations are not counted in `runs`.
    void add_target(unsigned n, target_handler fn) {
        auto server = http_server::listen(
            loop, {"127.0.0.1", 0}, {},
            [this, fn = std::move(fn)](const http_request& request, auto exchange) {
                if (!request.target.starts_with("/cancel/")) {
                    ++runs[std::string{header_or_empty(request.headers, "Baobab-Request")} + request.target];
                }
                fn(request, exchange);
            });
        REQUIRE(server);
        announce_target(n, {"127.0.0.1", server.value()->port()});
        targets.push_back(std::move(server.value()));
    }

    /// Runs the event loop until the condition holds; fails the test after 4 s.
    template <class Condition>
    void until(Condition condition) {
        const auto limit = clock::now() + std::chrono::seconds{4};
        while (!condition() && clock::now() < limit) {
            loop.implementation().context.run_one_for(milliseconds{5});
        }
        REQUIRE(condition());
    }

    void run_for(milliseconds time) {
        const auto end = clock::now() + time;
        until([&] { return clock::now() >= end; });
    }

    /// Sends a request; the result is stored in the returned object when it arrives.
    std::shared_ptr<std::optional<http_result>> send(unsigned n, http_request request,
                                                     milliseconds timeout = milliseconds{3000}) {
        auto slot = std::make_shared<std::optional<http_result>>();
        client.send(address(n), std::move(request), timeout,
                    [slot](http_result it) { *slot = std::move(it); });
        return slot;
    }

    /// Sends a request and returns its response; fails the test if there is none.
    http_response call(unsigned n, http_request request) {
        const auto slot = send(n, std::move(request));
        until([&] { return slot->has_value(); });
        REQUIRE(std::holds_alternative<http_response>(**slot));
        return std::get<http_response>(**slot);
    }

    /// Gets an idempotency key from a node.
    std::string key(unsigned n) {
        const auto response = call(n, {"POST", "/v1/keys", {}, ""});
        return nlohmann::json::parse(response.body).at("keys").at(0);
    }

    int total_runs() const {
        int sum = 0;
        for (const auto& [name, n] : runs) {
            sum += n;
        }
        return sum;
    }
};

/// Returns a call of the idempotent kind "look".
inline http_request look() {
    return {"POST", "/v1/call/desk/look", {{"Baobab-Kind", "look"}}, ""};
}

/// Returns a call of the non-idempotent kind "book".
inline http_request book(const std::string& key, const std::string& body = "") {
    return {"POST", "/v1/call/desk/book", {{"Baobab-Kind", "book"}, {"Baobab-Key", key}}, body};
}

/// Returns a child call of a call that a target received.
inline http_request child(const http_request& parent, const std::string& kind, const std::string& label) {
    return {"POST",
            "/v1/call/desk/child",
            {{"Baobab-Kind", kind},
             {"Baobab-Parent", std::string{header_or_empty(parent.headers, "Baobab-Call")}},
             {"Baobab-Child", label}},
            ""};
}

/// Returns the outcome name in the headers of a response.
inline std::string outcome(const http_response& response) {
    return std::string{header_or_empty(response.headers, "Baobab-Outcome")};
}

/// Returns the error name in the body of a response.
inline std::string cause(const http_response& response) {
    const auto body = nlohmann::json::parse(response.body, nullptr, false);
    return body.is_object() ? body.value("error", "") : "";
}

} // namespace callrig
