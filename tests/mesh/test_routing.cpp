#include "routing.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <map>

using namespace baobabswitch;

namespace {

mesh_config two_routes() {
    mesh_config it;
    it.version = 3;
    route wide;
    wide.name = "wide";
    wide.host = "shop.example";
    wide.path_prefix = "/a/";
    wide.parts = {{"front", 90}, {"trial", 10}};
    route narrow = wide;
    narrow.name = "narrow";
    narrow.path_prefix = "/a/b/";
    narrow.rank = 2;
    narrow.parts = {{"back", 1}};
    it.routes = {wide, narrow};
    return it;
}

} // namespace

// Guards against a request routed by a shorter prefix although a longer one matches.
TEST_CASE("the longest prefix of the host selects the route") {
    const auto config = two_routes();
    const route_table table{config};
    CHECK(table.find("shop.example", "/a/x") == 0);
    CHECK(table.find("shop.example", "/a/b/x") == 1);
    CHECK(table.find("SHOP.example:80", "/a/b/") == 1);
    CHECK(table.find("shop.example", "/c/") == route_table::npos);
    CHECK(table.find("other.example", "/a/x") == route_table::npos);
    CHECK(max_admission_level(config) == 3.0);
}

// Guards against a traffic split that deviates from its weights over a short sequence of requests.
TEST_CASE("a traffic split matches its weights over any 200 consecutive requests") {
    const auto config = two_routes();
    for (std::uint64_t start = 0; start < 5000; start += 37) {
        std::map<std::string, int> counts;
        for (std::uint64_t n = start; n < start + 200; ++n) {
            ++counts[choose_service(config.routes[0], n)];
        }
        CHECK(std::abs(counts["front"] / 200.0 - 0.9) < 0.1);
        CHECK(std::abs(counts["trial"] / 200.0 - 0.1) < 0.1);
    }
}
