#include "configdocument.h"
#include "settings.h"

#include <catch2/catch.hpp>

using namespace baobabswitch;
using Catch::Contains;

namespace {

constexpr auto valid = R"(node = "n1"
domain = "praha-a"
listen = "127.0.0.1:7400"
admin = "127.0.0.1:7401"
[security]
active = "k1"
[[security.keys]]
id = "k1"
secret = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
)";

} // namespace

TEST_CASE("valid settings are read", "[settings]") {
    const auto settings = parse_settings(valid, "node.toml");
    REQUIRE(settings);
    CHECK(settings.value().node_id == "n1");
    CHECK(settings.value().advertise.port == 7400);
}

// Guards against an error for an unknown setting that does not say where it is and how to correct it.
TEST_CASE("a bad setting is named with its file, line and remedy", "[settings]") {
    const auto settings = parse_settings(std::string{"nodes = 1\n"} + valid, "node.toml");
    REQUIRE_FALSE(settings);
    CHECK_THAT(settings.error().message, Contains("node.toml:1") && Contains("\"nodes\""));
    CHECK_THAT(settings.error().remedy, Contains("node"));
}

// Guards against a token that is written into the settings instead of its digest.
TEST_CASE("a token in place of its digest is refused", "[settings]") {
    std::string text = valid;
    text.insert(text.find("[[security.keys]]"), "operator_tokens = [\"a token\"]\n");
    const auto settings = parse_settings(text, "node.toml");
    REQUIRE_FALSE(settings);
    CHECK_THAT(settings.error().message, Contains("security.operator_tokens"));
    CHECK_THAT(settings.error().remedy, Contains("b2sum"));
}

// Guards against a digest that operators can't compute with the documented tool, b2sum -l 256.
TEST_CASE("the digest of a token is BLAKE2b of 256 bits", "[settings]") {
    CHECK(token_digest("s3cret token") == "e4d69a24f2f4e7d1158e3d8b96ef0e41a1bb42b752fd6355f2f4e12f2cae25d5");
}

// Guards against a validation error that does not give the path of the field and its valid range.
TEST_CASE("a bad field of the document is named", "[config]") {
    const auto config = parse_configuration(
        R"({"schema":1,"services":{"s":{"slots":1,"connections":1,"queue":1}},)"
        R"("kinds":{"k":{"service":"s","importance":12,"timeout_ms":5,"idempotent":true}}})");
    REQUIRE_FALSE(config);
    CHECK_THAT(config.error().message, Contains("kinds.k.importance"));
    CHECK_THAT(config.error().remedy, Contains("0 to 9"));
}
