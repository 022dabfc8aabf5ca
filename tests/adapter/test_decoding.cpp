#include "announcement.h"
#include "bootsettings.h"
#include "configuration.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace baobabswitch;
using nlohmann::json;

namespace {

json settings_document() {
    return json::parse(
        R"({"self":{"node_name":"n1","zone":"east","service":"front","bootstrap":true,"ip":"127.0.0.1",
        "limits":{"memory_mb":260},"app_addr":"127.0.0.1:8301"},
        "network":{"listen":{"inbound":"127.0.0.1:8300","outbound":"127.0.0.1:8304","ready":"127.0.0.1:8302",
        "control":"127.0.0.1:8306"},"port_range":[7620,7635]},
        "platform":{"platform":{"address":"127.0.0.1:8309"}},
        "terms":{"bounds":{"drain_s":2,"grace_s":6,"config_apply_s":2.5,"retry_budget_ratio":0.2,"budget_slack":49,"budget_window_s":10}}})");
}

json configuration_document() {
    return json::parse(R"({"version":"0000000c","services":[{"name":"front","health_path":"/healthz",
        "max_connections":646}],"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,
        "idle_timeout_s":15},"virtual_hosts":[{"host":"h.example","paths":[{"name":"r","path_prefix":"/a/",
        "kind":"idempotent","timeout_s":0.8,"target_latency_s":1.5,"priority":2,
        "traffic_split":[{"service":"front","weight":90},{"service":"back","weight":10}],"max_attempts":2},
        {"name":"u","path_prefix":"/u/","kind":"upload","timeout_s":1,"target_latency_s":0.5,"priority":1,
        "service":"front","max_attempts":2}]}]})");
}

http_request make_heartbeat(const json& body, std::string method = "PUT") {
    http_request it;
    it.method = std::move(method);
    it.target = "/baobabswitch/instances/i-1";
    it.body = body.dump();
    return it;
}

json heartbeat_body() {
    return json::parse(R"({"address":"127.0.0.1:8301","born":1785090183167,
        "info":{"service":"front","version":"v1","zone":"east","slots":91},
        "status":{"state":"ready","sequence":4,"cold_left_s":1.5}})");
}

} // namespace

// Guards against settings fields that are mapped to the wrong meaning.
TEST_CASE("the platform's settings are decoded") {
    const auto it = platform::decode_settings(settings_document().dump());
    REQUIRE(it);
    CHECK(it.value().node == "n1");
    CHECK(it.value().target == endpoint{"127.0.0.1", 8301});
    CHECK(it.value().listen.control == endpoint{"127.0.0.1", 8306});
    CHECK(it.value().listen.metrics == endpoint{"127.0.0.1", 7620});
    CHECK(it.value().retries.slack == 49);
    CHECK(it.value().memory_bytes == 260'000'000);
    CHECK(it.value().stop_time == std::chrono::seconds{6});
    CHECK(it.value().config_apply_time == std::chrono::milliseconds{2500});
}

// Guards against starting with settings that have missing fields or wrong types.
TEST_CASE("incomplete or wrongly typed settings are rejected with a remedy") {
    auto no_target = settings_document();
    no_target["self"].erase("app_addr");
    auto bad_port = settings_document();
    bad_port["network"]["listen"]["ready"] = "127.0.0.1:99999";
    auto bad_type = settings_document();
    bad_type["terms"]["bounds"]["grace_s"] = "six";
    auto bad_bound = settings_document();
    bad_bound["terms"]["bounds"]["config_apply_s"] = -1;
    auto bad_range = settings_document();
    bad_range["network"]["port_range"] = {70000, 70001};
    auto no_range = settings_document();
    no_range["network"]["port_range"] = json::array();
    for (const auto& text :
         {std::string{}, std::string{"{"}, no_target.dump(), bad_port.dump(), bad_type.dump(),
          bad_bound.dump(), bad_range.dump(), no_range.dump(), std::string(100'000, '[')}) {
        const auto it = platform::decode_settings(text);
        REQUIRE_FALSE(it);
        CHECK(it.error().kind == error_kind::bad_settings);
        CHECK_FALSE(it.error().remedy.empty());
    }
}

// Guards against seconds read as milliseconds, versions read as decimal, and uploads that are retried.
TEST_CASE("the published configuration is decoded") {
    const auto it = platform::decode_configuration(configuration_document().dump());
    REQUIRE(it);
    CHECK(it.value().version == 12);
    REQUIRE(it.value().routes.size() == 2);
    const auto& first = it.value().routes[0];
    CHECK(first.timeout == std::chrono::milliseconds{800});
    CHECK(first.latency_objective == std::chrono::milliseconds{1500});
    CHECK(first.repeat == repeatability::idempotent);
    CHECK(first.parts.size() == 2);
    CHECK(first.parts[0].weight == 90);
    CHECK(it.value().routes[1].repeat == repeatability::at_most_once);
    CHECK(it.value().services[0].max_connections == 646);
    CHECK(it.value().limits.idle_timeout == std::chrono::seconds{15});
}

// Guards against accepting a malformed configuration, which would replace the one in force.
TEST_CASE("a malformed configuration yields a typed error") {
    auto bad_version = configuration_document();
    bad_version["version"] = "12x";
    auto no_service = configuration_document();
    no_service["virtual_hosts"][0]["paths"][1].erase("service");
    auto empty_split = configuration_document();
    empty_split["virtual_hosts"][0]["paths"][0]["traffic_split"] = json::array();
    auto bad_attempts = configuration_document();
    bad_attempts["virtual_hosts"][0]["paths"][0]["max_attempts"] = -1;
    auto long_timeout = configuration_document();
    long_timeout["virtual_hosts"][0]["paths"][0]["timeout_s"] = 1e300;
    auto no_header = configuration_document();
    no_header["limits"]["max_header_bytes"] = 0;
    const auto deep = R"({"version":)" + std::string(200'000, '[') + std::string(200'000, ']') + '}';
    for (const auto& text : {std::string{"no"}, bad_version.dump(), no_service.dump(), empty_split.dump(),
                             bad_attempts.dump(), long_timeout.dump(), no_header.dump(), deep}) {
        const auto it = platform::decode_configuration(text);
        REQUIRE_FALSE(it);
        CHECK(it.error().kind == error_kind::bad_document);
    }
}

// Guards against heartbeat fields that are mapped to the wrong meaning.
TEST_CASE("heartbeats and withdrawals are decoded") {
    const auto it = platform::decode_announcement(make_heartbeat(heartbeat_body()));
    REQUIRE(it);
    CHECK(it.value().instance == "i-1");
    CHECK(it.value().started_ms == 1785090183167);
    CHECK(it.value().sequence == 4);
    CHECK_FALSE(it.value().leaving);
    CHECK(it.value().warmup_left == std::chrono::milliseconds{1500});
    auto draining = heartbeat_body();
    draining["status"]["state"] = "draining";
    CHECK(platform::decode_announcement(make_heartbeat(draining)).value().leaving);
    http_request withdrawal;
    withdrawal.method = "DELETE";
    withdrawal.target = "/baobabswitch/instances/i-1";
    CHECK(platform::decode_announcement(withdrawal).value().withdrawn);
}

// Guards against malformed heartbeats that crash the node or register a target.
TEST_CASE("malformed heartbeats yield a typed error") {
    auto bad_state = heartbeat_body();
    bad_state["status"]["state"] = "resting";
    auto bad_slots = heartbeat_body();
    bad_slots["info"]["slots"] = "many";
    auto negative = heartbeat_body();
    negative["status"]["sequence"] = -1;
    auto no_info = heartbeat_body();
    no_info.erase("info");
    auto bad_address = heartbeat_body();
    bad_address["address"] = "here";
    auto bad_born = heartbeat_body();
    bad_born["born"] = "soon";
    auto broken_born = heartbeat_body();
    broken_born["born"] = 1.5;
    auto no_slots = heartbeat_body();
    no_slots["info"]["slots"] = 0;
    auto many_slots = heartbeat_body();
    many_slots["info"]["slots"] = 4294967303;
    auto long_warmup = heartbeat_body();
    long_warmup["status"]["cold_left_s"] = 1e300;
    auto negative_warmup = heartbeat_body();
    negative_warmup["status"]["cold_left_s"] = -1;
    for (const auto& body : {bad_state, bad_slots, negative, no_info, bad_address, bad_born, broken_born,
                             no_slots, many_slots, long_warmup, negative_warmup, json{}, json::array()}) {
        const auto it = platform::decode_announcement(make_heartbeat(body));
        REQUIRE_FALSE(it);
        CHECK(it.error().kind == error_kind::malformed);
    }
    auto broken = make_heartbeat(heartbeat_body());
    broken.body = "\xff\x00{";
    CHECK_FALSE(platform::decode_announcement(broken));
    auto deep = make_heartbeat(heartbeat_body());
    deep.body.replace(deep.body.find("1.5"), 3, std::string(100'000, '[') + std::string(100'000, ']'));
    CHECK_FALSE(platform::decode_announcement(deep));
    auto odd_id = make_heartbeat(heartbeat_body());
    odd_id.target = "/baobabswitch/instances/i\xff";
    CHECK_FALSE(platform::decode_announcement(odd_id));
    CHECK_FALSE(platform::decode_announcement(make_heartbeat(heartbeat_body(), "POST")));
}
